#pragma once

#include "OutageStage.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace jayramp::platform_test {

/// Returns the number in an environment variable; \p Default if it is unset.
auto environmentNumber(const char *Name, std::uint64_t Default)
    -> std::uint64_t;
/// Returns an id of a job. Those of different clients differ.
auto jobId(std::uint64_t Client, std::uint64_t Number) -> std::string;

/// A test on an OutageStage with a seed, and a folder for the logs.
class StageTest : public testing::Test {
protected:
  StageTest();
  ~StageTest() override;

  /// Starts the stage and lets the hosts settle.
  auto start() -> void;
  auto submit(const JobPlan &Plan) -> void;
  /// Asks hosts in turn for the states of jobs until \p Stop is set.
  auto askForStates(const std::atomic<bool> &Stop) -> void;
  /// Fails for accepted jobs that are not completed in time.
  auto expectAllCompleted(std::int64_t LimitMs) -> void;
  auto expectNoFindings() -> void;

  const std::uint64_t Seed = environmentNumber("JAYRAMP_SEED", 6);
  std::string Folder;
  bool IsKept = false;
  OutageStage *Stage = nullptr;
  std::size_t NextCaller = 0;
};

} // namespace jayramp::platform_test
