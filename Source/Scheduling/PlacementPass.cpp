#include "Scheduling/PlacementPass.h"

#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace jayramp::scheduling {

namespace {

/// A result that is later than this multiple of the latency objective has no
/// value for the client.
constexpr double MaxLatenessFactor = 3.0;

auto seconds(TimePoint::duration Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

/// Limits the time of one pass: a search compares the runs of all workers.
constexpr unsigned MaxPreemptionSearches = 8;

} // namespace

PlacementPass::PlacementPass(ShardScheduler &Scheduler, TimePoint Now)
    : Scheduler(Scheduler), Now(Now), PreemptableRuns(Scheduler, Now) {}

auto PlacementPass::TaskGroup::spec() const -> const StepSpec & {
  return Job->Spec.Steps[Step];
}

auto PlacementPass::run() -> void {
  collectCandidates();
  for (const auto &Group : collectTaskGroups())
    if (Group.spec().Gang)
      placeGang(Group);
    else
      placeTasks(Group);
}

auto PlacementPass::collectCandidates() -> void {
  RackFreeGpus.resize(Scheduler.RackNumbers.size());
  Candidates.reserve(Scheduler.Workers.size());
  std::int64_t TotalGpus = 0;
  for (auto &[Id, Entry] : Scheduler.Workers) {
    if (Entry.Registered)
      TotalGpus += Entry.Report.Capacity.Gpus;
    if (!Entry.Registered || !Entry.Reachable || Entry.Report.Draining ||
        Now < Entry.QuarantinedUntil)
      continue;
    CandidateWorker Candidate{&Entry, Entry.Report.Capacity, {}};
    Candidate.Free -= Entry.Used;
    Candidate.FreeAfterStops = Candidate.Free;
    Candidate.FreeAfterStops += Entry.Stopping;
    RackFreeGpus[Entry.Rack] += Candidate.Free.Gpus;
    FreeGpus += Candidate.Free.Gpus;
    Candidates.push_back(Candidate);
  }
  ReservedGpus = Scheduler.urgentReserve(TotalGpus, Now);
}

auto PlacementPass::collectTaskGroups() -> std::vector<TaskGroup> {
  // The submission order is unique, so the order of the jobs is total.
  using SortKey = std::tuple<std::uint32_t, bool, Lateness, std::uint64_t>;
  std::vector<std::pair<SortKey, JobEntry *>> SortedJobs;
  for (const auto &[Sequence, Job] : Scheduler.ActiveJobs)
    if (Job->waitingTasks() > 0 && !Job->OnHold)
      SortedJobs.push_back(
          {{Job->Spec.Priority, !Job->Guaranteed, latenessOf(*Job), Sequence},
           Job});
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
    const auto &Spec = Job.Spec.Steps[Step];
    const auto Waiting = Job.waitingTasks(Step);
    if (Waiting == 0 || (Spec.Gang && Waiting < Spec.Count) ||
        !Job.isReady(Step))
      continue;
    Groups.push_back({&Job, Step, Waiting, JobLateness});
  }
}

auto PlacementPass::latenessOf(const JobEntry &Job) const -> Lateness {
  const auto Elapsed = seconds(Now - Job.SubmittedAt);
  if (Elapsed + Job.CriticalPathSeconds <= Job.ObjectiveSeconds)
    return Lateness::OnTime;
  return Elapsed <= Job.ObjectiveSeconds * MaxLatenessFactor
             ? Lateness::Late
             : Lateness::TooLate;
}

auto PlacementPass::mayUseReserve(const TaskGroup &Group) const -> bool {
  const auto &Job = *Group.Job;
  if (Job.Spec.Priority == 0 || Group.JobLateness != Lateness::OnTime)
    return true;
  const auto Waited = seconds(Now - Job.SubmittedAt);
  return Waited > Job.ObjectiveSeconds * Scheduler.Policy.ReserveWaitFraction;
}

auto PlacementPass::tasksOutsideReserve(const TaskGroup &Group) const
    -> std::uint32_t {
  const auto Gpus = Group.spec().Need.Gpus;
  if (mayUseReserve(Group))
    return Group.TaskCount;
  const auto Available = FreeGpus - ReservedGpus;
  if (Available < 0)
    return 0;
  if (Gpus == 0)
    return Group.TaskCount;
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(Group.TaskCount, Available / Gpus));
}

auto PlacementPass::placeGang(const TaskGroup &Gang) -> void {
  if (tasksOutsideReserve(Gang) < Gang.TaskCount)
    return;
  const auto Shape = shapeOf(Gang);
  if (placeNow(Gang, Shape) == 0 && Gang.Job->Spec.Priority == 0)
    placeAfterStops(Gang, Shape);
}

auto PlacementPass::placeTasks(TaskGroup Group) -> void {
  Group.TaskCount = tasksOutsideReserve(Group);
  if (Group.TaskCount == 0)
    return;
  const auto Shape = shapeOf(Group);
  auto Remaining = Group.TaskCount - placeNow(Group, Shape);
  if (Group.Job->Spec.Priority != 0)
    return;
  // The tasks are equal, so once one does not fit, the others do not either.
  Group.TaskCount = 1;
  while (Remaining > 0 && placeAfterStops(Group, Shape))
    --Remaining;
}

auto PlacementPass::placeAfterStops(const TaskGroup &Group,
                                    const TaskGroupShape &Shape) -> bool {
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
  return {Group.Job->Spec.Service,
          Spec.RequiredLabel,
          Spec.Need,
          Spec.Gang ? Group.TaskCount : 1,
          mustStayInRack(Group),
          Spec.MaxPerWorker > 0};
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
                             const TaskGroupShape &Shape) -> std::uint32_t {
  const auto BestLayout =
      findLayout(Group, Shape, ResourceSource::Free, FreeFailures);
  if (!BestLayout)
    return 0;
  assignLayout(Group, *BestLayout);
  return BestLayout->TaskCount;
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
  if (Now < Group.Job->NextPreemptionSearch ||
      PreemptionSearches >= MaxPreemptionSearches)
    return false;
  auto &KnownFailures =
      reclaimsGuarantee(Group) ? ReclaimFailures : PreemptionFailures;
  const auto Budget = preemptionBudget(Group);
  if (KnownFailures.isKnownToFail(Shape, Budget))
    return false;
  ++PreemptionSearches;
  if (!PreemptableRuns.isCollected())
    collectPreemptableRuns();
  const auto BestLayout = findLayout(Group, Shape, ResourceSource::WithVictims,
                                     KnownFailures, Budget);
  if (!BestLayout) {
    Group.Job->NextPreemptionSearch =
        Now + Scheduler.Policy.PreemptionSearchInterval;
    return false;
  }
  for (const auto &Victim : BestLayout->Victims) {
    const auto *LiveRun = Scheduler.run(Victim);
    if (!LiveRun || LiveRun->Phase == RunPhase::Stopping)
      continue;
    if (const auto Position = positionOf(*LiveRun)) {
      Candidates[*Position].FreeAfterStops +=
          LiveRun->Job->Spec.Steps[Victim.Step].Need;
      PreemptableRuns.remove(*Position, Victim);
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

auto PlacementPass::collectPreemptableRuns() -> void {
  std::vector<const WorkerEntry *> Workers;
  for (std::size_t Position = 0; Position < Candidates.size(); ++Position) {
    Workers.push_back(Candidates[Position].Worker);
    PositionByWorker.emplace(Workers.back()->Report.Id, Position);
  }
  PreemptableRuns.collect(Workers);
}

auto PlacementPass::positionOf(const Run &LiveRun) const
    -> std::optional<std::size_t> {
  const auto Found = PositionByWorker.find(LiveRun.Worker);
  if (Found == PositionByWorker.end())
    return std::nullopt;
  return Found->second;
}

auto PlacementPass::assignLayout(const TaskGroup &Group,
                                 const Layout &ChosenLayout) -> void {
  auto &Job = *Group.Job;
  const auto &Spec = Group.spec();
  const auto &Tasks = Job.Progress.Steps[Group.Step];
  const auto Indices = Job.waitingIndices(Group.Step, ChosenLayout.TaskCount);
  std::uint32_t RunNumber = 0;
  for (const auto Index : Indices)
    RunNumber = std::max(RunNumber, Tasks[Index].LastRunNumber + 1);
  std::size_t Next = 0;
  std::set<std::size_t> Racks;
  for (const auto &[Position, Count] : ChosenLayout.TaskCounts) {
    auto &Target = Candidates[Position];
    const auto Rack = Target.Worker->Rack;
    Racks.insert(Rack);
    for (std::uint32_t Task = 0; Task < Count; ++Task) {
      const auto Index = Indices[Next++];
      // The members of a gang share one run number.
      Scheduler.assign(Job, Group.Step, Index,
                       Spec.Gang ? RunNumber : Tasks[Index].LastRunNumber + 1,
                       *Target.Worker, Now);
      Target.Free -= Spec.Need;
      Target.FreeAfterStops -= Spec.Need;
      RackFreeGpus[Rack] -= Spec.Need.Gpus;
      FreeGpus -= Spec.Need.Gpus;
    }
  }
  Scheduler.PlacementDecisions.push_back({Job.Spec.Id, Group.Step, RunNumber,
                                          ChosenLayout.TaskCount, Racks.size(),
                                          seconds(Now - Job.SubmittedAt)});
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
  if (mustStayInRack(Group))
    return racksThatMayHold(Group);
  std::vector<std::size_t> AllWorkers;
  AllWorkers.reserve(Candidates.size());
  for (std::size_t Position = 0; Position < Candidates.size(); ++Position)
    if (mayRunOn(Group, Candidates[Position]))
      AllWorkers.push_back(Position);
  return {std::move(AllWorkers)};
}

auto PlacementPass::racksThatMayHold(const TaskGroup &Gang) const
    -> std::vector<std::vector<std::size_t>> {
  std::vector<std::vector<std::size_t>> ByRack(RackFreeGpus.size());
  std::vector<std::uint32_t> Capacities(RackFreeGpus.size());
  std::vector<std::size_t> AllWorkers;
  const auto &Spec = Gang.spec();
  for (std::size_t Position = 0; Position < Candidates.size(); ++Position) {
    if (!mayRunOn(Gang, Candidates[Position]))
      continue;
    const auto &Entry = *Candidates[Position].Worker;
    ByRack[Entry.Rack].push_back(Position);
    Capacities[Entry.Rack] +=
        std::min(Entry.Report.Capacity.maxTaskCount(Spec.Need),
                 Spec.MaxPerWorker > 0 ? Spec.MaxPerWorker : Gang.TaskCount);
    AllWorkers.push_back(Position);
  }
  // A gang that is too large for every rack is spread over racks: it runs more
  // slowly, but otherwise it would never run.
  if (std::none_of(Capacities.begin(), Capacities.end(),
                   [&](auto Capacity) { return Capacity >= Gang.TaskCount; }))
    return {std::move(AllWorkers)};
  return ByRack;
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
  for (const auto &[Id, LiveRun] : Candidate.Worker->Runs)
    if (Id.Job == Group.Job->Spec.Id && Id.Step == Group.Step)
      ++PresentCount;
  return PresentCount >= Limit ? 0 : Limit - PresentCount;
}

auto PlacementPass::layoutWithoutVictims(
    const TaskGroup &Group, const std::vector<std::size_t> &WorkerSet,
    bool IncludeStoppingRuns) const -> std::optional<Layout> {
  const auto &Spec = Group.spec();
  struct Option {
    std::tuple<bool, bool, std::int64_t, std::int64_t, std::int64_t,
               std::size_t>
        Preference;
    std::uint32_t MaxTasks;

    auto position() const -> std::size_t { return std::get<5>(Preference); }
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
    if (!Available.covers(Spec.Need))
      continue;
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
        {{HasRecentFailure, IsFarFromData, RackFreeGpus[Entry.Rack],
          Available.Gpus, Available.MemoryMb, Position},
         MaxTasks});
    Total += MaxTasks;
  }
  if (Total == 0 || (Spec.Gang && Total < Group.TaskCount))
    return std::nullopt;
  // Few of the options are needed, so they are not sorted as a whole.
  const auto IsWorse = [](const Option &Left, const Option &Right) {
    return Right.Preference < Left.Preference;
  };
  std::make_heap(Options.begin(), Options.end(), IsWorse);
  Layout Result;
  constexpr double RecentFailureCost = 1e6;
  constexpr double RemoteDataCost = 1e4;
  while (Result.TaskCount < Group.TaskCount && !Options.empty()) {
    std::pop_heap(Options.begin(), Options.end(), IsWorse);
    const auto &Choice = Options.back();
    const auto TaskCount =
        std::min(Group.TaskCount - Result.TaskCount, Choice.MaxTasks);
    Result.TaskCounts.emplace_back(Choice.position(), TaskCount);
    Result.TaskCount += TaskCount;
    Result.Cost += std::get<0>(Choice.Preference) ? RecentFailureCost : 0;
    Result.Cost += std::get<1>(Choice.Preference) ? RemoteDataCost : 0;
    Options.pop_back();
  }
  // Prefer the set of workers that has the fewest free accelerators.
  Result.Cost += static_cast<double>(FreeGpusOfSet);
  return Result;
}

auto PlacementPass::victimChoice(const TaskGroup &Group, std::size_t Position,
                                 Resources Available, std::uint32_t PlacedCount,
                                 const std::set<RunId> &ChosenVictims) const
    -> std::optional<VictimChoice> {
  if (PlacedCount >= remainingWorkerLimit(Group, Candidates[Position]))
    return std::nullopt;
  const auto &Need = Group.spec().Need;
  VictimChoice Choice{0, Position, {}};
  if (Available.covers(Need))
    return Choice;
  for (const auto &Candidate : PreemptableRuns.on(Position)) {
    if (!mayPreempt(Group, Candidate) || ChosenVictims.contains(Candidate.Id))
      continue;
    Available += Candidate.Need;
    Choice.Victims.push_back(Candidate.Id);
    Choice.Cost += Candidate.Cost;
    if (Available.covers(Need))
      return Choice;
  }
  return std::nullopt;
}

auto PlacementPass::layoutWithVictims(
    const TaskGroup &Group, const std::vector<std::size_t> &WorkerSet) const
    -> std::optional<Layout> {
  const auto &Need = Group.spec().Need;
  Layout Result;
  /// Resources and number of tasks of the group on each worker as far as the
  /// layout has been determined; missing if not changed yet.
  struct Planned {
    Resources Free;
    std::uint32_t TaskCount = 0;
  };
  std::map<std::size_t, Planned> PlannedByPosition;
  const auto PlannedAt = [&](std::size_t Position) -> Planned & {
    return PlannedByPosition
        .try_emplace(Position, Planned{Candidates[Position].FreeAfterStops, 0})
        .first->second;
  };
  // Each worker has at most one choice that is up to date.
  const auto IsLess = [](const VictimChoice &Left, const VictimChoice &Right) {
    return std::tie(Left.Cost, Left.Position) <
           std::tie(Right.Cost, Right.Position);
  };
  std::set<VictimChoice, decltype(IsLess)> Choices(IsLess);
  std::map<std::size_t, double> CostByPosition;
  const auto UpdateChoice = [&](std::size_t Position) {
    if (const auto Known = CostByPosition.find(Position);
        Known != CostByPosition.end()) {
      Choices.erase(VictimChoice{Known->second, Position, {}});
      CostByPosition.erase(Known);
    }
    const auto Plan = PlannedByPosition.find(Position);
    const bool IsChanged = Plan != PlannedByPosition.end();
    auto Choice = victimChoice(
        Group, Position,
        IsChanged ? Plan->second.Free : Candidates[Position].FreeAfterStops,
        IsChanged ? Plan->second.TaskCount : 0, Result.Victims);
    if (!Choice)
      return;
    CostByPosition[Position] = Choice->Cost;
    Choices.insert(std::move(*Choice));
  };
  for (const auto Position : WorkerSet)
    UpdateChoice(Position);
  const std::set<std::size_t> InSet(WorkerSet.begin(), WorkerSet.end());
  for (std::uint32_t Member = 0; Member < Group.TaskCount; ++Member) {
    if (Choices.empty())
      return std::nullopt;
    const auto Best = *Choices.begin();
    std::set<std::size_t> Changed{Best.Position};
    for (const auto &Victim : Best.Victims)
      for (const auto &Id : PreemptableRuns.gangOf(Victim)) {
        if (!Result.Victims.insert(Id).second)
          continue;
        const auto *LiveRun = Scheduler.run(Id);
        const auto Position = positionOf(*LiveRun);
        if (!Position || !InSet.contains(*Position))
          continue;
        PlannedAt(*Position).Free += LiveRun->Job->Spec.Steps[Id.Step].Need;
        Changed.insert(*Position);
      }
    auto &Plan = PlannedAt(Best.Position);
    Plan.Free -= Need;
    ++Plan.TaskCount;
    ++Result.TaskCount;
    Result.Cost += Best.Cost;
    Result.TaskCounts.emplace_back(Best.Position, 1);
    for (const auto Position : Changed)
      UpdateChoice(Position);
  }
  return Result;
}

auto PlacementPass::preemptionBudget(const TaskGroup &Group) const -> double {
  const auto &Policy = Scheduler.Policy;
  if (reclaimsGuarantee(Group))
    return PlacementFailureCache::UnlimitedBudget;
  return Group.Job->Work * Policy.MaxPreemptionCostRatio;
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
