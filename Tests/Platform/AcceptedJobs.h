#pragma once

#include "JobPlan.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace review {
class Record;
} // namespace review

namespace jayramp::platform_test {

/// A job that a host has accepted.
struct AcceptedJob {
  JobPlan Plan;
  std::int64_t AcceptedAtMs = 0;
  std::string Host;

  auto operator==(const AcceptedJob &) const -> bool = default;
};

/// Submits jobs and asks for their states as clients do, from any thread. Keeps
/// the accepted jobs and the answers that contradict an acceptance.
class AcceptedJobs {
public:
  explicit AcceptedJobs(review::Record &Output) : Output(Output) {}

  /// Submits \p Plan through \p Callers in turn, beginning with \p First, until
  /// a host accepts or rejects it. Returns true if it was accepted.
  auto submit(const JobPlan &Plan, const std::vector<std::string> &Callers,
              std::size_t First) -> bool;
  /// Returns the state of a job as \p Caller shows it; empty without one.
  auto stateOf(const AcceptedJob &Job, const std::string &Caller)
      -> std::string;

  auto all() const -> std::vector<AcceptedJob>;
  /// Answers that deny or fail a job that was accepted.
  auto contradictions() const -> std::vector<std::string>;

private:
  review::Record &Output;
  mutable std::mutex Mutex; ///< Guards all members below.
  std::vector<AcceptedJob> Jobs;
  std::vector<std::string> Contradictions;
};

} // namespace jayramp::platform_test
