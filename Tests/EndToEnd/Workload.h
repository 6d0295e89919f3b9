#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// A workload file such as Help/examples/workload.json.
struct Workload {
  /// One request or gang job of one caller.
  struct Item {
    std::string Deployment;
    std::string Account;
    std::string Key;
    bool IsJob = false;
    std::string Body; ///< SubmitRequest or SubmitJob in JSON.
    std::uint32_t AnswerBytes = 0;
  };

  struct Deployment {
    std::string Name;
    std::string Configuration; ///< ConfigurationDocument in JSON.
    std::vector<Item> Items;
  };

  struct LatencyPlan {
    std::uint32_t PerSecond = 0;
    std::uint32_t Rounds = 0;
    std::uint32_t SecondsPerRound = 0;
    std::uint32_t PayloadBytes = 0;
  };

  std::vector<Deployment> Deployments;
  std::uint32_t CallersAtOnce = 1;
  std::uint32_t JobRunMs = 0;
  std::uint32_t JobWaitMs = 0;
  LatencyPlan Latency;

  /// Reads \p Path and the configurations named in it, which lie in the same
  /// folder. Throws std::exception that names what is wrong.
  static auto load(const std::string &Path) -> Workload;
};

} // namespace jayramp
