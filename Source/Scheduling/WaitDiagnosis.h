#pragma once

#include "Base/Clock.h"
#include "Scheduling/TaskGroup.h"
#include "Scheduling/WaitReason.h"

#include <cstdint>
#include <vector>

namespace jayramp::scheduling {

class LayoutSearch;
class ShardScheduler;

/// Finds out, at the end of a placement pass, what the groups that were not
/// placed wait for. A diagnosis looks at every worker, so only a few are made
/// at a time, and each job is diagnosed again only after a while.
class WaitDiagnosis {
public:
  /// \p UsesQuarantined tells whether the pass used quarantined workers.
  WaitDiagnosis(const ShardScheduler &Scheduler, const LayoutSearch &Search,
                bool UsesQuarantined, TimePoint Now)
      : Scheduler(Scheduler), Search(Search), UsesQuarantined(UsesQuarantined),
        Now(Now) {}

  /// Diagnoses some of the groups that are due, those whose last diagnosis is
  /// oldest first, and records the reasons in their jobs.
  auto diagnose(const std::vector<TaskGroup> &Groups)
      -> std::vector<WaitReport>;

private:
  auto isDue(const TaskGroup &Group) const -> bool;
  auto reasonFor(const TaskGroup &Group, std::uint32_t RoomFor) const
      -> WaitReason;
  /// Returns how many tasks of the group fit on workers that are held for
  /// another gang.
  auto roomOnHeld(const TaskGroup &Group) const -> std::uint32_t;
  /// Returns how many tasks of the group fit on quarantined workers, on
  /// unreachable ones, on those in closed zones, or on all workers if they were
  /// empty. Workers that drain are left out. Those in closed zones count only
  /// where the name says so.
  auto roomOnQuarantined(const TaskGroup &Group) const -> std::uint32_t;
  auto roomOnUnreachable(const TaskGroup &Group) const -> std::uint32_t;
  auto roomInClosedZones(const TaskGroup &Group) const -> std::uint32_t;
  auto roomWhenEmpty(const TaskGroup &Group) const -> std::uint32_t;
  /// The same if all zones were open.
  auto roomWhenEmptyAndOpen(const TaskGroup &Group) const -> std::uint32_t;

  const ShardScheduler &Scheduler;
  const LayoutSearch &Search;
  bool UsesQuarantined;
  TimePoint Now;
};

} // namespace jayramp::scheduling
