#include "Scheduling/PlacementPass.h"

#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace jayramp::scheduling {

namespace {

/// A result that is later than this multiple of the latency objective has no
/// value for the client.
constexpr double MaxLatenessFactor = 3.0;

auto seconds(TimePoint::duration Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

/// Returns whether all steps that \p Step depends on are done.
auto isReady(const JobEntry &Job, std::uint32_t Step) -> bool {
  for (const auto Predecessor : Job.Spec.Steps[Step].After)
    for (const auto &Task : Job.Progress.Steps[Predecessor])
      if (!Task.Done)
        return false;
  return true;
}

/// Returns the estimated duration of the critical path through the steps.
auto criticalPathEstimate(const JobSpec &Spec) -> Milliseconds {
  std::vector<Milliseconds> Ends(Spec.Steps.size(), Milliseconds{0});
  Milliseconds Longest{0};
  for (std::size_t Step = 0; Step < Spec.Steps.size(); ++Step) {
    Milliseconds Start{0};
    for (const auto Predecessor : Spec.Steps[Step].After)
      Start = std::max(Start, Ends[Predecessor]);
    Ends[Step] = Start + Spec.Steps[Step].Estimate;
    Longest = std::max(Longest, Ends[Step]);
  }
  return Longest;
}

} // namespace

PlacementPass::PlacementPass(ShardScheduler &Scheduler, TimePoint Now)
    : Scheduler(Scheduler), Now(Now), PreemptableRuns(Scheduler, Now) {}

auto PlacementPass::TaskGroup::spec() const -> const StepSpec & {
  return Job->Spec.Steps[Step];
}

auto PlacementPass::run() -> void {
  collectCandidates();
  ReservedGpus = Scheduler.urgentReserve(Now);
  auto Groups = collectTaskGroups();
  // The tasks of a step that is not a gang have equal requirements: once one
  // does not fit, the others of the step do not either.
  const JobEntry *UnplacedJob = nullptr;
  std::uint32_t UnplacedStep = 0;
  for (const auto &Group : Groups) {
    if (Group.Job == UnplacedJob && Group.Step == UnplacedStep &&
        !Group.spec().Gang && Group.Job->Spec.Priority > 0)
      continue;
    if (place(Group))
      continue;
    UnplacedJob = Group.Job;
    UnplacedStep = Group.Step;
  }
}

auto PlacementPass::collectCandidates() -> void {
  std::map<std::string, std::size_t> Racks;
  for (auto &[Id, Entry] : Scheduler.Workers) {
    if (!Entry.Registered || !Entry.Reachable || Entry.Report.Draining ||
        Now < Entry.QuarantinedUntil)
      continue;
    const auto Rack = Racks.emplace(Entry.Report.Rack, Racks.size());
    RackFreeGpus.resize(Racks.size());
    CandidateWorker Candidate{
        &Entry, Rack.first->second, Entry.Report.Capacity, {}};
    Candidate.Free -= Entry.Used;
    RackFreeGpus[Candidate.Rack] += Candidate.Free.Gpus;
    FreeGpus += Candidate.Free.Gpus;
    Candidate.FreeAfterStops = Candidate.Free;
    for (const auto &Id : Entry.Runs) {
      const auto &LiveRun = Scheduler.Runs.at(Id);
      const auto *Job = Scheduler.job(Id.Job);
      if (LiveRun.Phase == RunPhase::Stopping && Job)
        Candidate.FreeAfterStops += Job->Spec.Steps[Id.Step].Need;
    }
    Candidates.push_back(Candidate);
  }
}

auto PlacementPass::collectTaskGroups() -> std::vector<TaskGroup> {
  // The submission order is unique, so the order of the jobs is total.
  using SortKey = std::tuple<std::uint32_t, bool, Lateness, std::uint64_t>;
  std::vector<std::pair<SortKey, JobEntry *>> SortedJobs;
  for (auto &[Id, Job] : Scheduler.Jobs)
    if (!isFinal(Job.Progress.State) && !Job.OnHold)
      SortedJobs.push_back(
          {{Job.Spec.Priority, !Job.Guaranteed, latenessOf(Job), Job.Sequence},
           &Job});
  std::sort(SortedJobs.begin(), SortedJobs.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first < Right.first;
            });
  std::vector<TaskGroup> Groups;
  for (const auto &[Key, Job] : SortedJobs)
    addTaskGroups(*Job, std::get<2>(Key), Groups);
  return Groups;
}

auto PlacementPass::addTaskGroups(JobEntry &Job, Lateness JobLateness,
                                  std::vector<TaskGroup> &Groups) -> void {
  for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
    const auto &Tasks = Job.Progress.Steps[Step];
    if (!isReady(Job, Step))
      continue;
    if (!Job.Spec.Steps[Step].Gang) {
      for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index)
        if (!Tasks[Index].Done && Tasks[Index].Worker.empty())
          Groups.push_back({&Job, Step, Index, 1,
                            Tasks[Index].LastRunNumber + 1, JobLateness});
      continue;
    }
    TaskGroup Gang{&Job, Step,
                   0,    static_cast<std::uint32_t>(Tasks.size()),
                   0,    JobLateness};
    bool IsWaiting = true;
    for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
      IsWaiting =
          IsWaiting && !Tasks[Index].Done && Tasks[Index].Worker.empty();
      Gang.RunNumber = std::max(Gang.RunNumber, Tasks[Index].LastRunNumber + 1);
    }
    if (IsWaiting)
      Groups.push_back(Gang);
  }
}

auto PlacementPass::latencyObjective(const JobSpec &Spec) -> double {
  return seconds(criticalPathEstimate(Spec)) * Spec.Stretch +
         seconds(Spec.TargetLatency);
}

auto PlacementPass::latenessOf(const JobEntry &Job) const -> Lateness {
  const auto Estimate = criticalPathEstimate(Job.Spec);
  const auto Objective = latencyObjective(Job.Spec);
  const auto Elapsed = seconds(Now - Job.SubmittedAt);
  if (Elapsed + seconds(Estimate) <= Objective)
    return Lateness::OnTime;
  return Elapsed <= Objective * MaxLatenessFactor ? Lateness::Late
                                                  : Lateness::TooLate;
}

auto PlacementPass::isBlockedByReserve(const TaskGroup &Group) const -> bool {
  const auto &Job = *Group.Job;
  if (Job.Spec.Priority == 0 || Group.JobLateness != Lateness::OnTime)
    return false;
  const auto Waited = seconds(Now - Job.SubmittedAt);
  if (Waited >
      latencyObjective(Job.Spec) * Scheduler.Policy.ReserveWaitFraction)
    return false;
  const auto NeededGpus =
      Group.spec().Need.Gpus * std::int64_t(Group.TaskCount);
  return FreeGpus - NeededGpus < ReservedGpus;
}

auto PlacementPass::place(const TaskGroup &Group) -> bool {
  if (isBlockedByReserve(Group))
    return false;
  const auto Shape = shapeOf(Group);
  if (placeNow(Group, Shape))
    return true;
  if (Group.Job->Spec.Priority != 0)
    return false;
  return reserveFreeAfterStops(Group, Shape) || preempt(Group, Shape);
}

auto PlacementPass::cheapestLayout(const TaskGroup &Group,
                                   ResourceSource Source) const
    -> std::optional<Layout> {
  std::optional<Layout> BestLayout;
  for (const auto &WorkerSet : eligibleWorkerSets(Group)) {
    auto Result =
        Source == ResourceSource::WithVictims
            ? layoutWithVictims(Group, WorkerSet)
            : layoutWithoutVictims(Group, WorkerSet,
                                   Source == ResourceSource::FreeAfterStops);
    if (Result && (!BestLayout || Result->Cost < BestLayout->Cost))
      BestLayout = std::move(Result);
  }
  return BestLayout;
}

auto PlacementPass::shapeOf(const TaskGroup &Group) const -> TaskGroupShape {
  const auto &Spec = Group.spec();
  return {
      Group.Job->Spec.Service, Spec.RequiredLabel,    Spec.Need,
      Group.TaskCount,         mustStayInRack(Group), Spec.MaxPerWorker > 0};
}

auto PlacementPass::findLayout(const TaskGroup &Group,
                               const TaskGroupShape &Shape,
                               ResourceSource Source,
                               PlacementFailureCache &KnownFailures,
                               double Budget) const -> std::optional<Layout> {
  if (KnownFailures.isKnownToFail(Shape, Budget))
    return std::nullopt;
  auto BestLayout = cheapestLayout(Group, Source);
  if (BestLayout && BestLayout->Cost <= Budget)
    return BestLayout;
  KnownFailures.add(Shape, BestLayout ? BestLayout->Cost
                                      : PlacementFailureCache::InfeasibleCost);
  return std::nullopt;
}

auto PlacementPass::placeNow(const TaskGroup &Group,
                             const TaskGroupShape &Shape) -> bool {
  const auto BestLayout =
      findLayout(Group, Shape, ResourceSource::Free, FreeFailures);
  if (!BestLayout)
    return false;
  assignLayout(Group, *BestLayout);
  return true;
}

auto PlacementPass::reserveFreeAfterStops(const TaskGroup &Group,
                                          const TaskGroupShape &Shape) -> bool {
  const auto BestLayout = findLayout(
      Group, Shape, ResourceSource::FreeAfterStops, FreeAfterStopsFailures);
  if (!BestLayout)
    return false;
  reserveLayout(Group, *BestLayout);
  return true;
}

auto PlacementPass::preempt(const TaskGroup &Group, const TaskGroupShape &Shape)
    -> bool {
  if (!PreemptableRuns.isCollected()) {
    std::vector<const WorkerEntry *> Workers;
    for (const auto &Candidate : Candidates)
      Workers.push_back(Candidate.Worker);
    PreemptableRuns.collect(Workers);
  }
  const auto BestLayout = findLayout(
      Group, Shape, ResourceSource::WithVictims,
      reclaimsGuarantee(Group) ? ReclaimFailures : PreemptionFailures,
      preemptionBudget(Group));
  if (!BestLayout)
    return false;
  for (const auto &Victim : BestLayout->Victims) {
    const auto *LiveRun = Scheduler.run(Victim);
    if (!LiveRun || LiveRun->Phase == RunPhase::Stopping)
      continue;
    for (std::size_t Position = 0; Position < Candidates.size(); ++Position) {
      auto &Candidate = Candidates[Position];
      if (Candidate.Worker->Report.Id != LiveRun->Worker)
        continue;
      Candidate.FreeAfterStops +=
          Scheduler.Jobs.at(Victim.Job).Spec.Steps[Victim.Step].Need;
      PreemptableRuns.remove(Position, Victim);
    }
    Scheduler.stopRun(Victim, StopReason::Preempted, Group.Job->Spec.Id);
  }
  FreeFailures.clear();
  FreeAfterStopsFailures.clear();
  PreemptionFailures.clear();
  ReclaimFailures.clear();
  reserveLayout(Group, *BestLayout);
  return true;
}

auto PlacementPass::assignLayout(const TaskGroup &Group,
                                 const Layout &ChosenLayout) -> void {
  std::uint32_t Next = 0;
  std::set<std::size_t> Racks;
  const auto &Need = Group.spec().Need;
  for (const auto &[Position, Count] : ChosenLayout.TaskCounts)
    for (std::uint32_t Task = 0; Task < Count; ++Task) {
      auto &Target = Candidates[Position];
      Scheduler.assign(*Group.Job, Group.Step, Group.FirstIndex + Next++,
                       Group.RunNumber, *Target.Worker, Now);
      Target.Free -= Need;
      Target.FreeAfterStops -= Need;
      RackFreeGpus[Target.Rack] -= Need.Gpus;
      FreeGpus -= Need.Gpus;
      Racks.insert(Target.Rack);
    }
  Scheduler.PlacementDecisions.push_back(
      {Group.Job->Spec.Id, Group.Step, Group.RunNumber, Group.TaskCount,
       Racks.size(), seconds(Now - Group.Job->SubmittedAt)});
}

auto PlacementPass::reserveLayout(const TaskGroup &Group,
                                  const Layout &ChosenLayout) -> void {
  const auto &Need = Group.spec().Need;
  for (const auto &[Position, Count] : ChosenLayout.TaskCounts)
    for (std::uint32_t Task = 0; Task < Count; ++Task)
      Candidates[Position].FreeAfterStops -= Need;
}

auto PlacementPass::mustStayInRack(const TaskGroup &Group) const -> bool {
  if (!Group.spec().SameRack || Group.TaskCount < 2)
    return false;
  const auto Waited = Now - Group.Job->SubmittedAt;
  return Group.Job->Spec.Priority != 0 ||
         Waited < Scheduler.Policy.MaxSameRackWait;
}

auto PlacementPass::eligibleWorkerSets(const TaskGroup &Group) const
    -> std::vector<std::vector<std::size_t>> {
  std::map<std::string, std::vector<std::size_t>> ByRack;
  const bool SingleRack = mustStayInRack(Group);
  for (std::size_t Position = 0; Position < Candidates.size(); ++Position)
    if (mayRunOn(Group, Candidates[Position]))
      ByRack[SingleRack ? Candidates[Position].Worker->Report.Rack
                        : std::string()]
          .push_back(Position);
  std::vector<std::vector<std::size_t>> WorkerSets;
  std::vector<std::size_t> AllWorkers;
  bool AnyRackIsLargeEnough = false;
  for (auto &[Rack, WorkerSet] : ByRack) {
    std::uint32_t Capacity = 0;
    for (const auto Position : WorkerSet)
      Capacity += Candidates[Position].Worker->Report.Capacity.maxTaskCount(
          Group.spec().Need);
    AnyRackIsLargeEnough = AnyRackIsLargeEnough || Capacity >= Group.TaskCount;
    AllWorkers.insert(AllWorkers.end(), WorkerSet.begin(), WorkerSet.end());
    WorkerSets.push_back(std::move(WorkerSet));
  }
  // A gang that is too large for every rack is spread over racks: it runs more
  // slowly, but otherwise it would never run.
  if (!AnyRackIsLargeEnough && WorkerSets.size() > 1)
    return {AllWorkers};
  return WorkerSets;
}

auto PlacementPass::mayRunOn(const TaskGroup &Group,
                             const CandidateWorker &Candidate) const -> bool {
  const auto &Report = Candidate.Worker->Report;
  if (Report.Service != Group.Job->Spec.Service)
    return false;
  const auto &Label = Group.spec().RequiredLabel;
  return Label.empty() || std::find(Report.Labels.begin(), Report.Labels.end(),
                                    Label) != Report.Labels.end();
}

auto PlacementPass::remainingWorkerLimit(const TaskGroup &Group,
                                         const CandidateWorker &Candidate) const
    -> std::uint32_t {
  const auto Limit = Group.spec().MaxPerWorker;
  if (Limit == 0)
    return std::numeric_limits<std::uint16_t>::max();
  std::uint32_t PresentCount = 0;
  for (const auto &Id : Candidate.Worker->Runs)
    if (Id.Job == Group.Job->Spec.Id && Id.Step == Group.Step)
      ++PresentCount;
  return PresentCount >= Limit ? 0 : Limit - PresentCount;
}

auto PlacementPass::layoutWithoutVictims(
    const TaskGroup &Group, const std::vector<std::size_t> &WorkerSet,
    bool IncludeStoppingRuns) const -> std::optional<Layout> {
  const auto &Spec = Group.spec();
  struct Option {
    std::size_t Position;
    std::uint32_t MaxTasks;
    std::tuple<bool, bool, std::int64_t, std::int64_t, std::int64_t> Preference;
  };
  std::vector<Option> Options;
  std::uint32_t Total = 0;
  std::int64_t FreeGpusOfSet = 0;
  for (const auto Position : WorkerSet) {
    const auto &Candidate = Candidates[Position];
    const auto Available =
        IncludeStoppingRuns
            ? Candidate.FreeAfterStops
            : componentwiseMin(Candidate.Free, Candidate.FreeAfterStops);
    FreeGpusOfSet += std::max<std::int64_t>(Available.Gpus, 0);
    const auto MaxTasks = std::min(Available.maxTaskCount(Spec.Need),
                                   remainingWorkerLimit(Group, Candidate));
    if (MaxTasks == 0)
      continue;
    const auto &Entry = *Candidate.Worker;
    const bool HasRecentFailure = !Entry.FailedJobs.empty();
    const bool IsFarFromData =
        !Spec.DataRack.empty() && Entry.Report.Rack != Spec.DataRack;
    // Fill the racks and workers with the least free resources first, so that
    // whole racks and workers stay free.
    Options.push_back(
        {Position,
         MaxTasks,
         {HasRecentFailure, IsFarFromData, RackFreeGpus[Candidate.Rack],
          Available.Gpus, Available.MemoryMb}});
    Total += MaxTasks;
  }
  if (Total < Group.TaskCount)
    return std::nullopt;
  std::sort(Options.begin(), Options.end(),
            [](const Option &Left, const Option &Right) {
              return Left.Preference < Right.Preference;
            });
  Layout Result;
  auto Remaining = Group.TaskCount;
  constexpr double RecentFailureCost = 1e6;
  constexpr double RemoteDataCost = 1e4;
  for (const auto &Choice : Options) {
    const auto TaskCount = std::min(Remaining, Choice.MaxTasks);
    Result.TaskCounts.emplace_back(Choice.Position, TaskCount);
    Result.Cost += std::get<0>(Choice.Preference) ? RecentFailureCost : 0;
    Result.Cost += std::get<1>(Choice.Preference) ? RemoteDataCost : 0;
    Remaining -= TaskCount;
    if (Remaining == 0)
      break;
  }
  // Prefer the set of workers that has the fewest free accelerators.
  Result.Cost += static_cast<double>(FreeGpusOfSet);
  return Result;
}

auto PlacementPass::layoutWithVictims(
    const TaskGroup &Group, const std::vector<std::size_t> &WorkerSet) const
    -> std::optional<Layout> {
  const auto &Spec = Group.spec();
  Layout Result;
  std::vector<Resources> FreeAfterStops(Candidates.size());
  std::vector<std::uint32_t> PlacedCounts(Candidates.size());
  for (const auto Position : WorkerSet)
    FreeAfterStops[Position] = Candidates[Position].FreeAfterStops;
  for (std::size_t Member = 0; Member < Group.TaskCount; ++Member) {
    std::optional<std::size_t> BestPosition;
    std::vector<RunId> BestVictims;
    double LowestCost = 0;
    for (const auto Position : WorkerSet) {
      const auto &Candidate = Candidates[Position];
      if (PlacedCounts[Position] >= remainingWorkerLimit(Group, Candidate))
        continue;
      auto Available = FreeAfterStops[Position];
      std::vector<RunId> Victims;
      double Cost = 0;
      if (!Available.covers(Spec.Need)) {
        for (const auto &Choice : PreemptableRuns.on(Position)) {
          if (!mayPreempt(Group, Choice) || Result.Victims.contains(Choice.Id))
            continue;
          Available += Choice.Need;
          Victims.push_back(Choice.Id);
          Cost += Choice.Cost;
          if (Available.covers(Spec.Need))
            break;
        }
        if (!Available.covers(Spec.Need))
          continue;
      }
      if (BestPosition && Cost >= LowestCost)
        continue;
      BestPosition = Position;
      BestVictims = std::move(Victims);
      LowestCost = Cost;
    }
    if (!BestPosition)
      return std::nullopt;
    for (const auto &Victim : BestVictims)
      for (const auto &Id : PreemptableRuns.gangOf(Victim)) {
        if (!Result.Victims.insert(Id).second)
          continue;
        const auto *LiveRun = Scheduler.run(Id);
        for (const auto Position : WorkerSet)
          if (Candidates[Position].Worker->Report.Id == LiveRun->Worker)
            FreeAfterStops[Position] +=
                Scheduler.Jobs.at(Id.Job).Spec.Steps[Id.Step].Need;
      }
    FreeAfterStops[*BestPosition] -= Spec.Need;
    ++PlacedCounts[*BestPosition];
    Result.Cost += LowestCost;
    Result.TaskCounts.emplace_back(*BestPosition, 1);
  }
  return Result;
}

auto PlacementPass::preemptionBudget(const TaskGroup &Group) const -> double {
  const auto &Policy = Scheduler.Policy;
  if (reclaimsGuarantee(Group))
    return PlacementFailureCache::UnlimitedBudget;
  double Work = 0;
  for (const auto &Step : Group.Job->Spec.Steps)
    Work += Step.Need.coreEquivalents() * Step.Count * seconds(Step.Estimate);
  return Work * Policy.MaxPreemptionCostRatio;
}

auto PlacementPass::reclaimsGuarantee(const TaskGroup &Group) const -> bool {
  return Group.Job->Guaranteed &&
         Now - Group.Job->SubmittedAt >= Scheduler.Policy.GuaranteeReclaimDelay;
}

auto PlacementPass::mayPreempt(const TaskGroup &Group,
                               const PreemptionCandidate &Candidate) const
    -> bool {
  if (Candidate.Priority > Group.Job->Spec.Priority)
    return true;
  // An equally urgent run without a guarantee is stopped only if the guarantee
  // would otherwise be missed.
  return reclaimsGuarantee(Group) && !Candidate.Guaranteed;
}

} // namespace jayramp::scheduling
