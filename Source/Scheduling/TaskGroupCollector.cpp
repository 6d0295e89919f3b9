#include "Scheduling/TaskGroupCollector.h"

#include "Scheduling/CandidateWorkers.h"
#include "Scheduling/JobTimeEstimate.h"
#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <tuple>

namespace jayramp::scheduling {

namespace {

/// What a task counts for at most where needs are summed up, so that sums over
/// tasks with absurd requirements do not overflow.
constexpr Resources MaxCountedNeed{1'000'000'000, 1'000'000'000, 1'000'000};

auto seconds(TimePoint::duration Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

auto milliseconds(double Seconds) -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

TaskGroupCollector::TaskGroupCollector(ShardScheduler &Scheduler,
                                       const CandidateWorkers &Candidates,
                                       TimePoint Now)
    : Scheduler(Scheduler), Candidates(Candidates), Now(Now) {}

auto TaskGroupCollector::collect() -> std::vector<TaskGroup> {
  std::vector<WaitingJob> Jobs;
  for (const auto &[Sequence, Job] : Scheduler.ActiveJobs)
    if (Job->waitingTasks() > 0)
      Jobs.push_back(
          {Job->Spec.Priority, !Job->Guaranteed, latenessOf(*Job), 0, Job});
  std::sort(Jobs.begin(), Jobs.end(), goesFirst);
  Scheduler.AccountsCompete = !isRoomForAll(Jobs);
  if (Scheduler.AccountsCompete)
    orderByAccountUse(Jobs);
  std::vector<TaskGroup> Groups;
  for (const auto &Each : Jobs)
    addTaskGroups(*Each.Job, Each.JobLateness, Groups);
  return Groups;
}

auto TaskGroupCollector::goesFirst(const WaitingJob &Left,
                                   const WaitingJob &Right) -> bool {
  const auto Key = [](const WaitingJob &Each) {
    // The submission order is unique, so the order of the jobs is total.
    return std::tie(Each.Priority, Each.HasNoGuarantee, Each.JobLateness,
                    Each.AccountUse, Each.Job->Sequence);
  };
  return Key(Left) < Key(Right);
}

auto TaskGroupCollector::waitingNeed(const JobEntry &Job) -> Resources {
  Resources Total;
  for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
    const auto Waiting = Job.waitingTasks(Step);
    // A step that no set of workers could hold does not compete for room.
    if (Waiting == 0 || !Job.isReady(Step) ||
        Job.waitReason(Step) == WaitReason::NoWorker)
      continue;
    Total +=
        componentwiseMin(Job.Spec.Steps[Step].Need, MaxCountedNeed) * Waiting;
  }
  return Total;
}

auto TaskGroupCollector::isRoomForAll(const std::vector<WaitingJob> &Jobs) const
    -> bool {
  Resources Total;
  for (const auto &Each : Jobs)
    Total += waitingNeed(*Each.Job);
  return Candidates.totalFree().covers(Total);
}

auto TaskGroupCollector::orderByAccountUse(std::vector<WaitingJob> &Jobs) const
    -> void {
  // What waits ahead of a job counts as used by its account, so that the
  // accounts take turns within a pass too.
  std::map<std::string_view, double> UseByAccount;
  for (auto &Each : Jobs) {
    const auto &Account = Each.Job->Spec.Tenant;
    const auto Position =
        UseByAccount.try_emplace(Account, Scheduler.Shares.useOf(Account))
            .first;
    Each.AccountUse = Position->second;
    Position->second += waitingNeed(*Each.Job).coreEquivalents();
  }
  std::sort(Jobs.begin(), Jobs.end(), goesFirst);
}

auto TaskGroupCollector::addTaskGroups(JobEntry &Job, Lateness JobLateness,
                                       std::vector<TaskGroup> &Groups) -> void {
  std::optional<JobTimeEstimate> Estimate;
  if (Scheduler.knowsSpeeds())
    Estimate.emplace(Job, Scheduler.RunTimes);
  for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
    const auto &Spec = Job.Spec.Steps[Step];
    const auto Waiting = Job.waitingTasks(Step);
    if (Waiting == 0 || !Job.isReady(Step))
      continue;
    Job.recordWaiting(Step, Now);
    const auto Placeable = Job.placeableTasks(Step, Now);
    const bool AllWait = Placeable == 0 || (Spec.Gang && Placeable < Waiting);
    TaskGroup Group{&Job, Step, AllWait ? Waiting : Placeable, JobLateness};
    if (Estimate)
      setSpeedPreference(*Estimate, Group);
    if (Job.OnHold)
      Group.NotTried = WaitReason::OnHold;
    else if (Spec.Gang && Waiting < Spec.Count)
      Group.NotTried = WaitReason::EarlierRuns;
    else if (AllWait)
      Group.NotTried = WaitReason::Backoff;
    Groups.push_back(Group);
  }
}

auto TaskGroupCollector::setSpeedPreference(const JobTimeEstimate &Estimate,
                                            TaskGroup &Group) const -> void {
  const auto &Job = *Group.Job;
  // A job that misses its objective should end while its result is of value.
  const auto Limit = Group.JobLateness == Lateness::OnTime
                         ? Job.ObjectiveSeconds
                         : Job.ObjectiveSeconds * JobSpec::MaxLatenessFactor;
  const auto TimeLeft = milliseconds(Limit - seconds(Now - Job.SubmittedAt));
  Group.TaskTime = Estimate.taskTime(Group.Step);
  Group.TimeLeft = TimeLeft - Estimate.timeAfter(Group.Step);
  Group.Speeds = SpeedPreference::forTasks(
      Group.TaskTime, Group.TimeLeft,
      Job.Spec.Priority == 0 ? Scheduler.Policy.UrgentSlackFactor : 1);
}

auto TaskGroupCollector::latenessOf(const JobEntry &Job) const -> Lateness {
  const auto Elapsed = seconds(Now - Job.SubmittedAt);
  auto Remaining = Job.CriticalPathSeconds;
  if (Scheduler.knowsSpeeds() && !Candidates.speedClasses().empty())
    Remaining = seconds(JobTimeEstimate(Job, Scheduler.RunTimes).total()) *
                timeFactorOf(Candidates.speedClasses().front());
  if (Elapsed + Remaining <= Job.ObjectiveSeconds)
    return Lateness::OnTime;
  return Elapsed <= Job.ObjectiveSeconds * JobSpec::MaxLatenessFactor
             ? Lateness::Late
             : Lateness::TooLate;
}

} // namespace jayramp::scheduling
