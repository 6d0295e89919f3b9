#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace jayramp::platform_test {

/// Tasks of one step. Each step waits for all earlier ones.
struct StepPlan {
  unsigned TaskCount = 1;
  unsigned GpusPerTask = 1;
  std::int64_t WorkMs = 1000;
  unsigned MaxTasksPerWorker = 0; ///< 0 if any number may run on one worker.

  auto operator==(const StepPlan &) const -> bool = default;
};

/// A job as a client submits it.
struct JobPlan {
  std::string Id; ///< 16 hexadecimal digits.
  std::vector<StepPlan> Steps;
  bool IsUrgent = false;
  bool IsSameRackGang = false;
  std::string RequiredRack; ///< Empty if any rack will do.

  /// Returns a job whose tasks keep \p Workers workers of \p Rack to
  /// themselves.
  static auto rackFiller(std::string Id, std::string Rack, unsigned Workers,
                         std::int64_t WorkMs) -> JobPlan;
  /// Returns a job of one step that any worker may run.
  static auto singleStep(std::string Id, const StepPlan &Step) -> JobPlan;
  /// Returns a gang of ten tasks in one rack, of which a worker holds two.
  static auto wideGang(std::string Id, std::int64_t WorkMs) -> JobPlan;
  /// Returns a single task, two steps, a gang or an urgent job.
  static auto random(std::string Id, std::mt19937_64 &Random) -> JobPlan;

  /// Returns tasks that work for 3 s to 11 s: one step, two steps or a gang.
  static auto randomLong(std::string Id, std::mt19937_64 &Random) -> JobPlan;

  /// Returns the body of the request that submits the job.
  auto body() const -> std::string;
  auto operator==(const JobPlan &) const -> bool = default;
};

} // namespace jayramp::platform_test
