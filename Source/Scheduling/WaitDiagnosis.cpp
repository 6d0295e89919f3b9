#include "Scheduling/WaitDiagnosis.h"

#include "Scheduling/LayoutSearch.h"
#include "Scheduling/PoolUse.h"
#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <utility>

namespace jayramp::scheduling {

namespace {

/// Shorter waits are not diagnosed.
constexpr Milliseconds MinDiagnosedWait{1000};
/// Time until a job that still waits is diagnosed again.
constexpr Milliseconds DiagnosisInterval{2000};
constexpr std::size_t MaxDiagnosesPerPass = 4;

/// Returns how many tasks of the group fit on the workers that \p Includes
/// selects, by the resources that \p AvailableOn returns for each.
template <typename Predicate, typename Available>
auto roomOn(const ShardScheduler &Scheduler, const TaskGroup &Group,
            Predicate Includes, Available AvailableOn) -> std::uint32_t {
  std::uint32_t Count = 0;
  for (const auto &[Id, Entry] : Scheduler.workers())
    if (Entry.Registered && !Entry.Report.Draining && Includes(Entry) &&
        Group.mayRunOn(Entry))
      Count += std::min(AvailableOn(Entry).maxTaskCount(Group.spec().Need),
                        Group.remainingWorkerLimit(Entry));
  return Count;
}

auto freeResources(const WorkerEntry &Entry) -> Resources {
  auto Free = Entry.Report.Capacity;
  Free -= Entry.Used;
  return Free;
}

} // namespace

auto WaitDiagnosis::diagnose(const std::vector<TaskGroup> &Groups)
    -> std::vector<WaitReport> {
  std::vector<std::pair<TimePoint, const TaskGroup *>> Due;
  for (const auto &Group : Groups)
    if (isDue(Group))
      Due.emplace_back(*Group.Job->waitingSince(Group.Step), &Group);
  const auto Count = std::min(Due.size(), MaxDiagnosesPerPass);
  std::partial_sort(Due.begin(),
                    Due.begin() + static_cast<std::ptrdiff_t>(Count), Due.end(),
                    [](const auto &Left, const auto &Right) {
                      return Left.first < Right.first;
                    });
  Due.resize(Count);
  std::vector<WaitReport> Reports;
  for (const auto &[Since, Group] : Due) {
    auto &Job = *Group->Job;
    const auto RoomFor = Search.roomFor(*Group);
    const auto Reason = reasonFor(*Group, RoomFor);
    Job.recordWaitReason(Group->Step, Reason);
    Job.NextWaitDiagnosis = Now + DiagnosisInterval;
    Reports.push_back({Job.Spec.Id, Group->Step, Job.waitingTasks(Group->Step),
                       Reason, RoomFor,
                       poolUse(Scheduler.workers(), Job.Spec.Service),
                       std::chrono::duration<double>(Now - Since).count()});
  }
  return Reports;
}

auto WaitDiagnosis::isDue(const TaskGroup &Group) const -> bool {
  const auto &Job = *Group.Job;
  const auto Since = Job.waitingSince(Group.Step);
  return Since && Now - *Since >= MinDiagnosedWait &&
         Now >= Job.NextWaitDiagnosis;
}

auto WaitDiagnosis::reasonFor(const TaskGroup &Group,
                              std::uint32_t RoomFor) const -> WaitReason {
  if (Group.NotTried)
    return *Group.NotTried;
  const auto Needed = Group.unitSize();
  if (RoomFor >= Needed)
    return Group.StaysInRack ? WaitReason::Rack : WaitReason::Room;
  if (RoomFor + roomOnQuarantined(Group) >= Needed)
    return WaitReason::Quarantine;
  if (RoomFor + roomOnUnreachable(Group) >= Needed)
    return WaitReason::Unreachable;
  return roomWhenEmpty(Group) < Needed ? WaitReason::NoWorker
                                       : WaitReason::Room;
}

auto WaitDiagnosis::roomOnQuarantined(const TaskGroup &Group) const
    -> std::uint32_t {
  return roomOn(
      Scheduler, Group,
      [this](const WorkerEntry &Entry) {
        return Entry.Reachable && Now < Entry.QuarantinedUntil;
      },
      freeResources);
}

auto WaitDiagnosis::roomOnUnreachable(const TaskGroup &Group) const
    -> std::uint32_t {
  return roomOn(
      Scheduler, Group,
      [](const WorkerEntry &Entry) { return !Entry.Reachable; }, freeResources);
}

auto WaitDiagnosis::roomWhenEmpty(const TaskGroup &Group) const
    -> std::uint32_t {
  return roomOn(
      Scheduler, Group, [](const WorkerEntry &) { return true; },
      [](const WorkerEntry &Entry) { return Entry.Report.Capacity; });
}

} // namespace jayramp::scheduling
