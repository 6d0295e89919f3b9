#pragma once

#include "OutageStage.h"
#include "RestartPlan.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jayramp::platform_test {

/// Returns the number in an environment variable; \p Default if it is unset.
auto environmentNumber(const char *Name, std::uint64_t Default)
    -> std::uint64_t;
/// Returns an id of a job. Those of different clients differ.
auto jobId(std::uint64_t Client, std::uint64_t Number) -> std::string;

/// A test on an OutageStage with a seed, and a folder for the logs.
class StageTest : public testing::Test {
protected:
  /// Sends requests until its argument is set.
  using Client = std::function<void(const std::atomic<bool> &)>;
  using RandomJob = JobPlan (*)(std::string Id, std::mt19937_64 &Random);
  /// The jobs that a client submits, and its pauses between them.
  struct Traffic {
    RandomJob NextJob;
    int MinPauseMs;
    int MaxPauseMs;
  };
  static constexpr Traffic RandomJobs{JobPlan::random, 400, 1600};

  StageTest();
  ~StageTest() override;

  /// Starts the stage and lets the hosts settle.
  auto start() -> void;
  auto submit(const JobPlan &Plan) -> void;
  /// Submits a random job through a random host.
  auto submitRandom(RandomJob NextJob, const std::string &Id,
                    std::mt19937_64 &Random) -> void;
  /// Returns a client that submits the jobs of its number and the seed through
  /// random hosts.
  auto sender(std::uint64_t Number, const Traffic &Jobs) -> Client;
  /// Runs each client on a thread of its own, and one that asks for states,
  /// while \p Play runs.
  auto runClients(const std::vector<Client> &Clients,
                  const std::function<void()> &Play) -> void;
  /// Plays the plan with the traffic of \p Clients until its last fault has
  /// ended.
  auto play(const RestartPlan &Plan, bool LooksForIdleRoom,
            const std::vector<Client> &Clients) -> void;
  /// Sleeps until \p AtMs of the stage's time.
  auto sleepUntil(std::int64_t AtMs) -> void;
  /// Asks hosts in turn for the states of jobs until \p Stop is set.
  auto askForStates(const std::atomic<bool> &Stop) -> void;
  /// Fails for accepted jobs that are not completed in time.
  auto expectAllCompleted(std::int64_t LimitMs) -> void;
  auto expectNoFindings() -> void;
  /// Returns the length of the traffic.
  static auto trafficMs(std::uint64_t DefaultSeconds) -> std::int64_t;

  const std::uint64_t Seed = environmentNumber("JAYRAMP_SEED", 6);
  std::string Folder;
  bool IsKept = false;
  OutageStage *Stage = nullptr;
  std::size_t NextCaller = 0;
};

} // namespace jayramp::platform_test
