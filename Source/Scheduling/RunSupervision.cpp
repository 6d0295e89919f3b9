#include "Scheduling/RunSupervision.h"

#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <tuple>

namespace jayramp::scheduling {

namespace {

constexpr std::uint32_t AllDonePercent = 100;

auto elapsed(TimePoint From, TimePoint To) -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(To - From);
}

} // namespace

RunSupervision::RunSupervision(ShardScheduler &Scheduler, TimePoint Now)
    : Scheduler(Scheduler), Now(Now) {}

auto RunSupervision::stopStalledRuns() -> void {
  std::vector<RunId> Stalled;
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, Gang> Gangs;
  for (const auto &[Id, Alive] : Scheduler.Runs) {
    const auto *Job = Scheduler.job(Id.Job);
    if (!Job || Alive.Phase == RunPhase::Stopping)
      continue;
    if (Job->Spec.Steps[Id.Step].Gang)
      Gangs[{Id.Job, Id.Step, Id.Run}].push_back(&Alive);
    else if (isStalled(Alive, *Job))
      Stalled.push_back(Id);
  }
  for (const auto &[Name, Members] : Gangs)
    collectStalledMembers(Members, Stalled);
  for (const auto &Id : Stalled) {
    const auto Holder = Scheduler.Workers.find(Scheduler.Runs.at(Id).Worker);
    if (Holder != Scheduler.Workers.end())
      Holder->second.QuarantinedUntil =
          Now + Scheduler.Policy.QuarantineDuration;
    Scheduler.stopRun(Id, StopReason::Stalled);
  }
  // Once all of them are stopped for their own reason.
  for (const auto &Id : Stalled)
    breakGangOf(Id);
}

auto RunSupervision::breakGangOf(const RunId &Id) -> void {
  if (Scheduler.Jobs.at(Id.Job).Spec.Steps[Id.Step].Gang)
    Scheduler.breakGang(Id);
}

auto RunSupervision::isReachable(const Run &Alive) const -> bool {
  const auto *Holder = Scheduler.worker(Alive.Worker);
  return Holder && Holder->Reachable;
}

auto RunSupervision::isStalled(const Run &Alive, const JobEntry &Job) const
    -> bool {
  // A member of a gang that is done waits for the slower ones.
  if (Alive.Phase != RunPhase::Started ||
      Alive.ProgressPercent >= AllDonePercent || !isReachable(Alive))
    return false;
  const auto &Step = Job.Spec.Steps[Alive.Id.Step];
  const auto Still = Now - Alive.LastProgressAt;
  // Percents of long tasks change rarely.
  return Still >= std::max<Milliseconds>(Scheduler.Policy.StallTimeout,
                                         Step.Estimate / 4);
}

auto RunSupervision::collectStalledMembers(const Gang &Members,
                                           std::vector<RunId> &Stalled) const
    -> void {
  const auto Before = Stalled.size();
  for (const auto *Alive : Members)
    if (isMissing(*Alive, Members) || standsStillBeside(*Alive, Members))
      Stalled.push_back(Alive->Id);
  if (Stalled.size() > Before)
    return;
  // Nothing tells the members apart, so one stands for all.
  const auto &Job = Scheduler.Jobs.at(Members.front()->Id.Job);
  for (const auto *Alive : Members)
    if (isStalled(*Alive, Job)) {
      Stalled.push_back(Alive->Id);
      return;
    }
}

auto RunSupervision::isMissing(const Run &Alive, const Gang &Members) const
    -> bool {
  if (Alive.Phase != RunPhase::Assigned)
    return false;
  std::vector<TimePoint> Starts;
  for (const auto *Other : Members)
    if (Other->Phase == RunPhase::Started)
      Starts.push_back(Other->StartedAt);
  if (Starts.size() * 2 < Members.size())
    return false;
  // A write that takes long delays the starts of all.
  const auto Latest = *std::max_element(Starts.begin(), Starts.end());
  return Now - Latest >= Scheduler.Policy.GangMemberStartTimeout;
}

auto RunSupervision::standsStillBeside(const Run &Alive,
                                       const Gang &Members) const -> bool {
  if (Alive.Phase != RunPhase::Started ||
      Alive.ProgressPercent >= AllDonePercent || !isReachable(Alive))
    return false;
  const auto &Policy = Scheduler.Policy;
  std::vector<double> PercentsPerMs;
  std::size_t Ahead = 0;
  for (const auto *Other : Members) {
    if (Other == &Alive)
      continue;
    if (Other->ProgressPercent >=
        Alive.ProgressPercent + Policy.StalledMemberLagPercent)
      ++Ahead;
    const auto Worked =
        elapsed(Other->StartedAt, Other->LastProgressAt).count();
    if (Worked > 0)
      PercentsPerMs.push_back(Other->ProgressPercent /
                              static_cast<double>(Worked));
  }
  if (PercentsPerMs.empty() || Ahead * 2 < Members.size() - 1)
    return false;
  const auto Median = PercentsPerMs.begin() +
                      static_cast<std::ptrdiff_t>(PercentsPerMs.size() / 2);
  std::nth_element(PercentsPerMs.begin(), Median, PercentsPerMs.end());
  if (*Median <= 0)
    return false;
  // A task that is so much longer than the others changes by a percent in this
  // time.
  const Milliseconds SlowestChange(
      static_cast<std::int64_t>(Policy.MaxTaskDurationFactor / *Median));
  return Alive.LastReportAt - Alive.LastProgressAt >=
         std::max(Policy.GangMemberStallTimeout, SlowestChange);
}

auto RunSupervision::evacuateLeavingWorkers() -> void {
  std::vector<RunId> Leaving;
  for (const auto &[Name, Entry] : Scheduler.Workers) {
    if (!Entry.Report.Draining || Entry.LeavesAt == TimePoint())
      continue;
    for (const auto &Id : Entry.Runs) {
      const auto &Alive = Scheduler.Runs.at(Id);
      const auto *Job = Scheduler.job(Id.Job);
      if (Job && Alive.Phase == RunPhase::Started &&
          Now + expectedRest(Alive, *Job) + Scheduler.Policy.DrainSafetyMargin >
              Entry.LeavesAt)
        Leaving.push_back(Id);
    }
  }
  for (const auto &Id : Leaving) {
    Scheduler.stopRun(Id, StopReason::WorkerLeaves);
    breakGangOf(Id);
  }
}

auto RunSupervision::expectedRest(const Run &Alive, const JobEntry &Job) const
    -> Milliseconds {
  constexpr std::uint32_t TellingPercent = 5;
  const auto Elapsed = elapsed(Alive.StartedAt, Now);
  if (Alive.ProgressPercent >= TellingPercent)
    return Elapsed *
           (AllDonePercent - std::min(Alive.ProgressPercent, AllDonePercent)) /
           Alive.ProgressPercent;
  return std::max(Milliseconds(0),
                  Job.Spec.Steps[Alive.Id.Step].Estimate - Elapsed);
}

} // namespace jayramp::scheduling
