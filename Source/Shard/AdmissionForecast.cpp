#include "Shard/AdmissionForecast.h"

#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>
#include <utility>

namespace jayramp::shard {

namespace {

using scheduling::JobEntry;
using scheduling::ShardScheduler;
using Seconds = std::chrono::duration<double>;

/// Time constant of the observed pace, and time for which it is observed before
/// the first forecast.
constexpr Milliseconds PaceHorizon{3000};
/// Bounds the forecasts of tasks with absurd estimates or requirements.
constexpr Milliseconds MaxRoomWait{3'600'000};
/// Largest number of accounts that a forecast names.
constexpr std::size_t MaxAccounts = 64;

/// Returns whether tasks of the step wait for nothing but room.
auto waitsForRoom(const JobEntry &Job, std::uint32_t Step) -> bool {
  const auto Reason = Job.waitReason(Step);
  return Job.isReady(Step) && !Job.OnHold &&
         Reason != scheduling::WaitReason::NoWorker &&
         Reason != scheduling::WaitReason::ClosedZone;
}

/// Returns the core-seconds of the tasks of the job that wait for room.
auto waitingWork(const ShardScheduler &Scheduler, const JobEntry &Job)
    -> double {
  double Work = 0;
  for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step)
    if (waitsForRoom(Job, Step))
      Work +=
          Job.Spec.Steps[Step].Need.coreEquivalents() * Job.waitingTasks(Step) *
          Seconds(Scheduler.runTimes().expectedTime(Job.Spec, Step)).count();
  return Work;
}

/// Core-seconds of waiting tasks.
struct WaitingWork {
  double OnTime = 0; ///< Of jobs that can still meet their objectives.
  double Useful = 0; ///< Of all jobs whose results still have value.
};

auto isUseful(const JobEntry &Job, TimePoint Now) -> bool {
  return Seconds(Now - Job.SubmittedAt).count() <=
         Job.ObjectiveSeconds * scheduling::JobSpec::MaxLatenessFactor;
}

auto addWork(const JobEntry &Job, double Work, TimePoint Now,
             WaitingWork &Totals) -> void {
  if (!isUseful(Job, Now))
    return;
  Totals.Useful += Work;
  if (Seconds(Now - Job.SubmittedAt).count() + Job.CriticalPathSeconds <=
      Job.ObjectiveSeconds)
    Totals.OnTime += Work;
}

auto toWait(double Work, double Rate) -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(
      Seconds(std::min(Work / Rate, Seconds(MaxRoomWait).count())));
}

/// Returns the core equivalents of all workers that may get new runs.
auto poolCapacity(const ShardScheduler &Scheduler) -> double {
  double Capacity = 0;
  for (const auto &[Id, Entry] : Scheduler.workers())
    if (Entry.isOpen())
      Capacity += Entry.Report.Capacity.coreEquivalents();
  return Capacity;
}

/// Returns which part of the backlog goes before a new job of each account: the
/// accounts take turns until each has had as much as that account waits for.
auto backlogShares(const std::map<std::string_view, double> &Backlogs)
    -> std::map<std::string, double> {
  double Total = 0;
  for (const auto &[Account, Backlog] : Backlogs)
    Total += Backlog;
  std::map<std::string, double> Shares;
  for (const auto &[Account, Own] : Backlogs) {
    if (Own <= 0 || Shares.size() >= MaxAccounts)
      continue;
    double Ahead = 0;
    for (const auto &[Other, Backlog] : Backlogs)
      Ahead += std::min(Backlog, Own);
    Shares.emplace(Account, Ahead / Total);
  }
  return Shares;
}

} // namespace

auto AdmissionForecast::roomWait(std::uint32_t Priority) const -> RoomWait {
  const auto Found = RoomWaits.find(Priority);
  if (Found != RoomWaits.end())
    return Found->second;
  const auto MoreUrgent = moreUrgentWait(Priority);
  return {MoreUrgent, MoreUrgent};
}

auto AdmissionForecast::roomWaitOf(const std::string &Account,
                                   std::uint32_t Priority) const -> RoomWait {
  const auto MoreUrgent = moreUrgentWait(Priority);
  const auto Found = BacklogShares.find(Account);
  const auto Share = Found == BacklogShares.end() ? 0.0 : Found->second;
  const auto WaitBehind = [&](Milliseconds Whole) {
    return MoreUrgent + std::chrono::duration_cast<Milliseconds>(
                            (Whole - MoreUrgent) * Share);
  };
  const auto Whole = roomWait(Priority);
  return {WaitBehind(Whole.OnTime), WaitBehind(Whole.Useful)};
}

auto AdmissionForecast::moreUrgentWait(std::uint32_t Priority) const
    -> Milliseconds {
  const auto Next = RoomWaits.lower_bound(Priority);
  return Next == RoomWaits.begin() ? Milliseconds(0)
                                   : std::prev(Next)->second.Useful;
}

auto AdmissionForecaster::updatePace(const ShardScheduler &Scheduler,
                                     TimePoint Now) -> void {
  if (!ObservedSince) {
    ObservedSince = Now;
    PlacedWork = Scheduler.placedWork();
  }
  const Seconds Elapsed = Now - std::exchange(UpdatedAt, Now);
  const auto Placed = Scheduler.placedWork() -
                      std::exchange(PlacedWork, Scheduler.placedWork());
  if (Now == *ObservedSince || Elapsed.count() <= 0)
    return;
  const auto Weight = 1.0 - std::exp(-Elapsed / Seconds(PaceHorizon));
  Pace += (Placed / Elapsed.count() - Pace) * Weight;
}

auto AdmissionForecaster::forecast(const ShardScheduler &Scheduler,
                                   TimePoint Now)
    -> std::optional<AdmissionForecast> {
  updatePace(Scheduler, Now);
  // Where estimates are too long, work finds room faster than the pool could
  // do it, and the pace shows that. A slower pace may have other reasons than a
  // full pool.
  const auto Rate = std::max(poolCapacity(Scheduler), Pace);
  if (Now - *ObservedSince < PaceHorizon || Rate <= 0)
    return std::nullopt;
  // Tasks may wait for the next pass, for a rack or for faster workers beside
  // room; nobody is refused for these.
  if (!Scheduler.accountsCompete())
    return AdmissionForecast();
  std::map<std::uint32_t, WaitingWork> WorkByPriority;
  std::map<std::string_view, double> Backlogs;
  for (const auto &[Id, Job] : Scheduler.jobs()) {
    if (isFinal(Job.Progress.State) || Job.waitingTasks() == 0)
      continue;
    const auto Work = waitingWork(Scheduler, Job);
    addWork(Job, Work, Now, WorkByPriority[Job.Spec.Priority]);
    if (isUseful(Job, Now))
      Backlogs[Job.Spec.Tenant] += Work;
  }
  AdmissionForecast Result;
  double WorkAhead = 0;
  for (const auto &[Priority, Work] : WorkByPriority) {
    Result.RoomWaits[Priority] = {toWait(WorkAhead + Work.OnTime, Rate),
                                  toWait(WorkAhead + Work.Useful, Rate)};
    WorkAhead += Work.Useful;
  }
  Result.BacklogShares = backlogShares(Backlogs);
  return Result;
}

} // namespace jayramp::shard
