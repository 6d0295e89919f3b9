#pragma once

#include "RestartPlan.h"

#include <functional>
#include <map>
#include <string>
#include <thread>

namespace review {
class Cluster;
} // namespace review

namespace jayramp::platform_test {

/// Plays the restarts and cuts of a plan on the workers of a platform, on a
/// thread of its own, since a cut may follow a return within 20 ms.
class RestartPlayer {
public:
  RestartPlayer(review::Cluster &Platform, const RestartPlan &Plan,
                std::uint64_t Seed);

  /// Plays the plan, whose times count from now.
  auto begin() -> void;

private:
  auto schedule(const WorkerCut &Cut) -> void;
  auto schedule(const WorkerRestart &Restart) -> void;
  auto scheduleStep(const WorkerGroup &Group, std::int64_t AtMs,
                    const std::string &What,
                    const std::function<void(std::size_t)> &Step) -> void;
  auto beginCut(std::size_t Worker, bool DelaysCalls) -> void;
  auto endCut(std::size_t Worker) -> void;
  auto startAgain(std::size_t Worker, std::int64_t MaxEntryDelayMs) -> void;

  review::Cluster &Platform;
  std::mt19937_64 Random;
  /// How many cuts each worker is in: it is reached again after the last one.
  std::map<std::size_t, unsigned> CutsByWorker;
  std::multimap<std::int64_t, std::function<void()>> Steps; ///< By their ms.
  std::jthread Player;
};

} // namespace jayramp::platform_test
