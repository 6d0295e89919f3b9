#pragma once

#include "AcceptedJobs.h"
#include "standins/RunHistory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jayramp::platform_test {

/// A job that stood still although there was room for it.
struct IdleRoom {
  AcceptedJob Job;
  std::int64_t SinceMs = 0;
  std::int64_t UntilMs = 0;
  unsigned WaitingTasks = 0;
  unsigned Room = 0; ///< Tasks of the job for which there is capacity.
  unsigned GpusInUse = 0;
  unsigned GpusInAll = 0;

  auto operator==(const IdleRoom &) const -> bool = default;
  auto describe() const -> std::string;
};

/// Finds accepted jobs that have nothing running for longer than 3 s while less
/// than half of the pool is in use and the capacity that no run takes would
/// hold the waiting tasks twice over.
class IdleRoomCheck {
public:
  /// \p RackByWorker names all workers of the pool.
  explicit IdleRoomCheck(std::map<std::string, std::string> RackByWorker)
      : RackByWorker(std::move(RackByWorker)) {}

  /// Forgets how long jobs have waited, because a fault was in force.
  auto reset() -> void { IdleSinceMs.clear(); }
  /// Looks at the state of all workers at \p NowMs. Returns a job that has
  /// stood still for too long, each job once.
  auto look(std::int64_t NowMs, const std::vector<AcceptedJob> &Jobs,
            const std::vector<review::RunHistory::Entry> &Runs)
      -> std::optional<IdleRoom>;

private:
  struct PoolUse;

  auto poolUse(const std::vector<AcceptedJob> &Jobs,
               const std::vector<review::RunHistory::Entry> &Runs) const
      -> PoolUse;
  auto roomFor(const JobPlan &Plan, const StepPlan &Step,
               const PoolUse &Use) const -> unsigned;

  std::map<std::string, std::string> RackByWorker;
  std::map<std::string, std::int64_t> IdleSinceMs; ///< By job.
  std::set<std::string> Reported;
};

} // namespace jayramp::platform_test
