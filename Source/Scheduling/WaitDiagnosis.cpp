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
/// Shortest time until a job that still waits is diagnosed again.
constexpr Milliseconds DiagnosisInterval{2000};
constexpr std::size_t MaxDiagnosesPerPass = 4;

/// Returns whether a task of the group may run on the worker, which is
/// registered and does not drain, if its zone is open.
auto isEligibleIfOpen(const TaskGroup &Group, const WorkerEntry &Entry)
    -> bool {
  return Entry.Registered && !Entry.Report.Draining && Group.mayRunOn(Entry);
}

/// The same for a worker whose zone is open.
auto isEligible(const TaskGroup &Group, const WorkerEntry &Entry) -> bool {
  return Entry.isOpen() && isEligibleIfOpen(Group, Entry);
}

/// Returns how many tasks of the group the worker could hold if it were empty.
auto roomWhenEmptyOn(const TaskGroup &Group, const WorkerEntry &Entry)
    -> std::uint32_t {
  return std::min(Entry.Report.Capacity.maxTaskCount(Group.spec().Need),
                  Group.workerLimit());
}

/// Returns how many more tasks of the group fit on the worker.
auto roomOn(const TaskGroup &Group, const WorkerEntry &Entry) -> std::uint32_t {
  auto Free = Entry.Report.Capacity;
  Free -= Entry.Used;
  const auto &Need = Group.spec().Need;
  if (!Free.covers(Need))
    return 0;
  return std::min(Free.maxTaskCount(Need), Group.remainingWorkerLimit(Entry));
}

} // namespace

auto WaitDiagnosis::diagnose(const std::vector<TaskGroup> &Groups)
    -> std::vector<WaitReport> {
  // Jobs that were never diagnosed come first, so that each gets its turn.
  using Urgency = std::pair<TimePoint, TimePoint>;
  std::vector<std::pair<Urgency, const TaskGroup *>> Due;
  for (const auto &Group : Groups)
    if (isDue(Group))
      Due.emplace_back(Urgency{Group.Job->NextWaitDiagnosis,
                               *Group.Job->waitingSince(Group.Step)},
                       &Group);
  const auto Count = std::min(Due.size(), MaxDiagnosesPerPass);
  std::partial_sort(Due.begin(),
                    Due.begin() + static_cast<std::ptrdiff_t>(Count), Due.end(),
                    [](const auto &Left, const auto &Right) {
                      return Left.first < Right.first;
                    });
  Due.resize(Count);
  std::vector<WaitReport> Reports;
  for (const auto &[Order, Group] : Due) {
    auto &Job = *Group->Job;
    const auto RoomFor = Search.roomFor(*Group);
    const auto Reason = reasonFor(*Group, RoomFor);
    Job.recordWaitReason(Group->Step, Reason);
    Job.NextWaitDiagnosis = Now + DiagnosisInterval;
    Reports.push_back(
        {Job.Spec.Id, Group->Step, Job.waitingTasks(Group->Step), Reason,
         RoomFor, poolUse(Scheduler.workers(), Job.Spec.Service),
         confirmedPoolUse(Scheduler.workers(), Job.Spec.Service),
         std::chrono::duration<double>(Now - Order.second).count()});
  }
  return Reports;
}

auto WaitDiagnosis::isDue(const TaskGroup &Group) const -> bool {
  const auto &Job = *Group.Job;
  const auto Since = Job.waitingSince(Group.Step);
  return Job.waitingTasks(Group.Step) > 0 && Since &&
         Now - *Since >= MinDiagnosedWait && Now >= Job.NextWaitDiagnosis;
}

auto WaitDiagnosis::reasonFor(const TaskGroup &Group,
                              std::uint32_t RoomFor) const -> WaitReason {
  const bool IsHeldBack = Group.NotTried == WaitReason::Reserve ||
                          Group.NotTried == WaitReason::Speed;
  if (Group.NotTried && !IsHeldBack)
    return *Group.NotTried;
  const auto Needed = Group.unitSize();
  if (RoomFor >= Needed) {
    if (IsHeldBack)
      return *Group.NotTried;
    return Group.StaysInRack ? WaitReason::Rack : WaitReason::Room;
  }
  if (RoomFor + roomOnHeld(Group) >= Needed)
    return WaitReason::GangRoom;
  const auto WithQuarantined = RoomFor + roomOnQuarantined(Group);
  if (WithQuarantined >= Needed)
    return WaitReason::Quarantine;
  const auto WithUnreachable = WithQuarantined + roomOnUnreachable(Group);
  if (WithUnreachable >= Needed)
    return WaitReason::Unreachable;
  if (WithUnreachable + roomInClosedZones(Group) >= Needed)
    return WaitReason::ClosedZone;
  if (roomWhenEmpty(Group) >= Needed)
    return WaitReason::Room;
  return roomWhenEmptyAndOpen(Group) >= Needed ? WaitReason::ClosedZone
                                               : WaitReason::NoWorker;
}

auto WaitDiagnosis::roomOnHeld(const TaskGroup &Group) const -> std::uint32_t {
  std::uint32_t Count = 0;
  for (const auto &Each : Scheduler.roomForGangs().gatherings()) {
    if (Each.Job == Group.Job->Spec.Id)
      return 0;
    for (const auto &[Worker, Tasks] : Each.Workers)
      if (const auto *Entry = Scheduler.worker(Worker);
          Entry && isEligible(Group, *Entry))
        Count += roomOn(Group, *Entry);
  }
  return Count;
}

auto WaitDiagnosis::roomOnQuarantined(const TaskGroup &Group) const
    -> std::uint32_t {
  std::uint32_t Count = 0;
  for (const auto &[Id, Entry] : Scheduler.workers()) {
    const bool IsLeftOut = !Entry.takesTasks(Now) ||
                           (Now < Entry.QuarantinedUntil && !UsesQuarantined);
    if (isEligible(Group, Entry) && Entry.Reachable && IsLeftOut)
      Count += roomOn(Group, Entry);
  }
  return Count;
}

auto WaitDiagnosis::roomOnUnreachable(const TaskGroup &Group) const
    -> std::uint32_t {
  std::uint32_t Count = 0;
  for (const auto &[Id, Entry] : Scheduler.workers())
    if (isEligible(Group, Entry) && !Entry.Reachable)
      Count += roomOn(Group, Entry);
  return Count;
}

auto WaitDiagnosis::roomInClosedZones(const TaskGroup &Group) const
    -> std::uint32_t {
  std::uint32_t Count = 0;
  for (const auto &[Id, Entry] : Scheduler.workers())
    if (Entry.InClosedZone && isEligibleIfOpen(Group, Entry))
      Count += roomOn(Group, Entry);
  return Count;
}

auto WaitDiagnosis::roomWhenEmpty(const TaskGroup &Group) const
    -> std::uint32_t {
  std::uint32_t Count = 0;
  for (const auto &[Id, Entry] : Scheduler.workers())
    if (isEligible(Group, Entry))
      Count += roomWhenEmptyOn(Group, Entry);
  return Count;
}

auto WaitDiagnosis::roomWhenEmptyAndOpen(const TaskGroup &Group) const
    -> std::uint32_t {
  std::uint32_t Count = 0;
  for (const auto &[Id, Entry] : Scheduler.workers())
    if (isEligibleIfOpen(Group, Entry))
      Count += roomWhenEmptyOn(Group, Entry);
  return Count;
}

} // namespace jayramp::scheduling
