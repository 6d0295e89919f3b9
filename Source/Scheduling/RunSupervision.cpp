#include "Scheduling/RunSupervision.h"

#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <utility>

namespace jayramp::scheduling {

namespace {

constexpr std::uint32_t CompletePercent = 100;

auto elapsed(TimePoint From, TimePoint To) -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(To - From);
}

} // namespace

RunSupervision::RunSupervision(ShardScheduler &Scheduler, TimePoint Now)
    : Scheduler(Scheduler), Now(Now) {}

auto RunSupervision::stopStalledGangMembers() -> void {
  std::vector<RunId> StalledRuns;
  auto ToCheck = std::exchange(Scheduler.GangsToCheck, {});
  std::erase_if(Scheduler.StartingGangs, [&](const RunId &FirstMember) {
    const auto Members = membersOf(FirstMember);
    const bool IsStarting =
        std::any_of(Members.begin(), Members.end(), [](const auto *Each) {
          return Each->Phase == RunPhase::Assigned;
        });
    if (IsStarting)
      ToCheck.insert(FirstMember);
    return !IsStarting;
  });
  for (const auto &FirstMember : ToCheck)
    if (const auto Members = membersOf(FirstMember); !Members.empty())
      collectStalledMembers(Members, StalledRuns);
  stopAsStalled(StalledRuns);
}

auto RunSupervision::stopAsStalled(const std::vector<RunId> &StalledRuns)
    -> void {
  for (const auto &Id : StalledRuns) {
    const auto WorkerIt = Scheduler.Workers.find(Scheduler.Runs.at(Id).Worker);
    if (WorkerIt != Scheduler.Workers.end()) {
      WorkerIt->second.TroubledAt = Now;
      WorkerIt->second.QuarantinedUntil =
          Now + Scheduler.Policy.QuarantineDuration;
    }
    Scheduler.stopRun(Id, StopReason::Stalled);
  }
  // The other members of the gangs are stopped only after all stalled runs, so
  // that each stalled run keeps its own stop reason.
  for (const auto &Id : StalledRuns)
    stopRestOfGang(Id);
}

auto RunSupervision::membersOf(const RunId &FirstMember) const -> Gang {
  Gang Members;
  for (auto Next = Scheduler.Runs.lower_bound(
           {FirstMember.Job, FirstMember.Step, 0, 0});
       Next != Scheduler.Runs.end() && Next->first.Job == FirstMember.Job &&
       Next->first.Step == FirstMember.Step;
       ++Next)
    if (Next->first.Run == FirstMember.Run &&
        Next->second.Phase != RunPhase::Stopping)
      Members.push_back(&Next->second);
  return Members;
}

auto RunSupervision::stopRestOfGang(const RunId &Id) -> void {
  if (Scheduler.Jobs.at(Id.Job).Spec.Steps[Id.Step].Gang)
    Scheduler.stopGang(Id);
}

auto RunSupervision::isReachable(const Run &LiveRun) const -> bool {
  const auto *Entry = Scheduler.worker(LiveRun.Worker);
  return Entry && Entry->Reachable;
}

auto RunSupervision::isStalled(const Run &LiveRun) const -> bool {
  // A gang member that has reached 100% waits for the slower members and is not
  // stalled.
  if (LiveRun.Phase != RunPhase::Started ||
      LiveRun.ProgressPercent >= CompletePercent || !isReachable(LiveRun))
    return false;
  const auto &Step = LiveRun.Job->Spec.Steps[LiveRun.Id.Step];
  // The progress percentage of a long task changes rarely, so its timeout is
  // longer.
  return LiveRun.LastReportAt - LiveRun.LastProgressAt >=
         std::max<Milliseconds>(Scheduler.Policy.StallTimeout,
                                Step.Estimate / 4);
}

auto RunSupervision::collectStalledMembers(
    const Gang &Members, std::vector<RunId> &StalledRuns) const -> void {
  const auto CountBefore = StalledRuns.size();
  for (const auto *LiveRun : Members)
    if (isStartOverdue(*LiveRun, Members) || lagsBehindGang(*LiveRun, Members))
      StalledRuns.push_back(LiveRun->Id);
  if (StalledRuns.size() > CountBefore)
    return;
  // No member lags behind the others, so nothing shows which worker is at
  // fault. If the gang is stalled, only one member is stopped as stalled, so
  // that only one worker is quarantined.
  for (const auto *LiveRun : Members)
    if (isStalled(*LiveRun)) {
      StalledRuns.push_back(LiveRun->Id);
      return;
    }
}

auto RunSupervision::isStartOverdue(const Run &LiveRun,
                                    const Gang &Members) const -> bool {
  if (LiveRun.Phase != RunPhase::Assigned)
    return false;
  std::vector<TimePoint> StartTimes;
  for (const auto *Other : Members)
    if (Other->Phase == RunPhase::Started)
      StartTimes.push_back(Other->StartedAt);
  if (StartTimes.size() * 2 < Members.size())
    return false;
  // Measured from the latest start rather than from the assignment: a slow
  // write to the store delays the starts of all members.
  const auto LatestStart =
      *std::max_element(StartTimes.begin(), StartTimes.end());
  return Now - LatestStart >=
         Scheduler.AnswerTimeout + Scheduler.Policy.GangMemberStartMargin;
}

auto RunSupervision::lagsBehindGang(const Run &LiveRun,
                                    const Gang &Members) const -> bool {
  if (LiveRun.Phase != RunPhase::Started ||
      LiveRun.ProgressPercent >= CompletePercent || !isReachable(LiveRun))
    return false;
  const auto &Policy = Scheduler.Policy;
  std::vector<double> PercentsPerMs;
  std::size_t AheadCount = 0;
  for (const auto *Other : Members) {
    if (Other == &LiveRun)
      continue;
    if (Other->ProgressPercent >=
        LiveRun.ProgressPercent + Policy.StalledMemberLagPercent)
      ++AheadCount;
    const auto WorkedMs =
        elapsed(Other->StartedAt, Other->LastProgressAt).count();
    if (WorkedMs > 0)
      PercentsPerMs.push_back(Other->ProgressPercent /
                              static_cast<double>(WorkedMs));
  }
  if (PercentsPerMs.empty() || AheadCount * 2 < Members.size() - 1)
    return false;
  const auto Median = PercentsPerMs.begin() +
                      static_cast<std::ptrdiff_t>(PercentsPerMs.size() / 2);
  std::nth_element(PercentsPerMs.begin(), Median, PercentsPerMs.end());
  if (*Median <= 0)
    return false;
  // The time for one percent of progress in a task that takes
  // MaxTaskDurationFactor times as long as the median of the others.
  const Milliseconds SlowestPercentTime(
      static_cast<std::int64_t>(Policy.MaxTaskDurationFactor / *Median));
  return LiveRun.LastReportAt - LiveRun.LastProgressAt >=
         std::max(Policy.GangMemberStallTimeout, SlowestPercentTime);
}

auto RunSupervision::stopRunsOnLeavingWorkers() -> void {
  std::vector<RunId> RunsToStop;
  for (const auto &Name : Scheduler.DrainingWorkers) {
    const auto &Entry = Scheduler.Workers.at(Name);
    if (Entry.LeavesAt == TimePoint())
      continue;
    for (const auto &[Id, LiveRun] : Entry.Runs)
      if (LiveRun->Phase == RunPhase::Started &&
          Now + expectedRemainingTime(*LiveRun) +
                  Scheduler.Policy.DrainSafetyMargin >
              Entry.LeavesAt)
        RunsToStop.push_back(Id);
  }
  for (const auto &Id : RunsToStop) {
    Scheduler.stopRun(Id, StopReason::WorkerLeaves);
    stopRestOfGang(Id);
  }
}

auto RunSupervision::expectedRemainingTime(const Run &LiveRun) const
    -> Milliseconds {
  constexpr std::uint32_t MinPercentForEstimate = 5;
  const auto RunTime = elapsed(LiveRun.StartedAt, Now);
  if (LiveRun.ProgressPercent >= MinPercentForEstimate)
    return RunTime *
           (CompletePercent -
            std::min(LiveRun.ProgressPercent, CompletePercent)) /
           LiveRun.ProgressPercent;
  return std::max(Milliseconds(0),
                  LiveRun.Job->Spec.Steps[LiveRun.Id.Step].Estimate - RunTime);
}

} // namespace jayramp::scheduling
