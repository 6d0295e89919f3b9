#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// Contents of a workload file such as Help/examples/workload.json.
struct Workload {
  /// One request or gang job that one caller submits.
  struct Item {
    std::string Deployment;
    std::string Account; ///< Name of the client account.
    std::string Key;
    bool IsJob = false;
    std::string Body;              ///< SubmitRequest or SubmitJob in JSON.
    std::uint32_t AnswerBytes = 0; ///< Expected size; requests only.
  };

  struct Deployment {
    std::string Name;
    std::string Configuration; ///< ConfigurationDocument in JSON.
    std::vector<Item> Items;
  };

  /// Parameters of the latency measurement that follows the deployments.
  struct LatencyPlan {
    std::uint32_t PerSecond = 0; ///< Requests per second.
    std::uint32_t Rounds = 0;
    std::uint32_t SecondsPerRound = 0;
    std::uint32_t PayloadBytes = 0;
  };

  std::vector<Deployment> Deployments;
  std::uint32_t CallersAtOnce = 1;
  std::uint32_t JobRunMs = 0;  ///< Run time of a task at the worker.
  std::uint32_t JobWaitMs = 0; ///< Longest wait for the end of a job.
  LatencyPlan Latency;

  /// Reads the workload file \p Path and the configuration files named in it,
  /// whose paths are relative to its directory. Throws std::exception if a file
  /// cannot be read or a field is missing or invalid.
  static auto load(const std::string &Path) -> Workload;
};

} // namespace jayramp
