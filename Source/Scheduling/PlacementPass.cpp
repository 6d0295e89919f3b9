#include "Scheduling/PlacementPass.h"

#include "Scheduling/PoolUse.h"
#include "Scheduling/RoomForecast.h"
#include "Scheduling/ShardScheduler.h"
#include "Scheduling/TaskGroupCollector.h"
#include "Scheduling/WaitDiagnosis.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

namespace jayramp::scheduling {

namespace {

auto seconds(TimePoint::duration Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

/// Limits the time of one pass: a search compares the runs of all workers.
constexpr unsigned MaxPreemptionSearches = 8;

/// Shortest interval between two passes that diagnose waits.
constexpr Milliseconds WaitDiagnosisInterval{250};

} // namespace

PlacementPass::PlacementPass(ShardScheduler &Scheduler, TimePoint Now)
    : Scheduler(Scheduler), Now(Now), PreemptableRuns(Scheduler, Now),
      Search(Scheduler, Candidates, PreemptableRuns, Now),
      SpeedsKnown(Scheduler.knowsSpeeds()) {}

auto PlacementPass::run() -> void {
  collectCandidates();
  auto Groups = TaskGroupCollector(Scheduler, Candidates, Now).collect();
  addQuarantined(Groups);
  markWanted(Groups);
  PendingGatherings = Scheduler.RoomForGangs.gatherings();
  for (auto &Group : Groups) {
    holdGangRoom(Group, Groups);
    // A gang for which room was gathered may have been placed ahead of its
    // turn.
    if (Group.NotTried || Group.Job->waitingTasks(Group.Step) == 0)
      continue;
    if (Group.spec().Gang)
      placeGang(Group);
    else
      placeTasks(Group);
  }
  updateGangRoom(Groups);
  diagnoseWaits(Groups);
}

auto PlacementPass::holdGangRoom(const TaskGroup &Next,
                                 std::vector<TaskGroup> &Groups) -> void {
  std::erase_if(PendingGatherings, [&](const GangRoom::Gathering &Target) {
    if (!Target.isHeldAgainst(Next))
      return false;
    placeOrHold(Target, Groups);
    return true;
  });
}

auto PlacementPass::placeOrHold(const GangRoom::Gathering &Target,
                                std::vector<TaskGroup> &Groups) -> void {
  const auto Gang =
      std::find_if(Groups.begin(), Groups.end(), [&](const TaskGroup &Group) {
        return Group.Step == Target.Step && Group.Job->Spec.Id == Target.Job;
      });
  if (Gang == Groups.end() || Gang->NotTried)
    return;
  placeGang(*Gang);
  if (Gang->Job->waitingTasks(Gang->Step) == 0) {
    Scheduler.RoomForGangs.recordPlaced(*Gang->Job, Gang->Step, Now);
    return;
  }
  // No task may stand still beside a pool that is mostly idle.
  if (poolUseOf(*Gang) < Scheduler.Policy.IdlePoolUse)
    return;
  Candidates.indexById();
  for (const auto &[Worker, Tasks] : Target.Workers)
    if (const auto Position = Candidates.positionOf(Worker))
      Candidates.hold(*Position, Target.Need * Tasks);
}

auto PlacementPass::updateGangRoom(const std::vector<TaskGroup> &Groups)
    -> void {
  if (!Scheduler.RoomForGangs.needsUpdate(Now))
    return;
  const RoomForecast Forecast(Scheduler.RunTimes, Now);
  Scheduler.RoomForGangs.update({Groups, Candidates, Search, Forecast,
                                 Groups.empty() ? 0 : poolUseOf(Groups.front()),
                                 PoolCoreEquivalents, Now});
}

auto PlacementPass::collectCandidates() -> void {
  Candidates.reset(Scheduler.RackNumbers.size());
  updateReserveSpeeds();
  std::int64_t TotalGpus = 0;
  for (auto &[Id, Entry] : Scheduler.Workers) {
    const auto Speed = speedClassOf(Entry);
    if (Entry.isOpen())
      PoolCoreEquivalents += Entry.Report.Capacity.coreEquivalents();
    if (Entry.isOpen() && ReserveSpeeds.contains(Speed))
      TotalGpus += Entry.Report.Capacity.Gpus;
    if (!Entry.takesTasks(Now))
      continue;
    if (Now >= Entry.QuarantinedUntil)
      Candidates.add(Entry, Speed);
    else
      Quarantined.emplace_back(&Entry, Speed);
  }
  ReservedGpus = Scheduler.Reserve.size(TotalGpus, Now);
}

auto PlacementPass::addQuarantined(const std::vector<TaskGroup> &Groups)
    -> void {
  UsesQuarantined =
      !Quarantined.empty() &&
      std::any_of(Groups.begin(), Groups.end(), [this](const auto &Each) {
        return waitsBesideIdlePool(Each);
      });
  if (!UsesQuarantined)
    return;
  // They are tried last, by all groups.
  for (const auto &[Worker, Speed] : Quarantined)
    Candidates.add(*Worker, Speed);
}

auto PlacementPass::markWanted(const std::vector<TaskGroup> &Groups) -> void {
  for (const auto &Group : Groups) {
    if (Group.spec().RequiredLabel.empty() || !waitsBesideIdlePool(Group))
      continue;
    for (std::size_t Position = 0; Position < Candidates.size(); ++Position)
      if (Group.mayRunOn(*Candidates[Position].Worker))
        Candidates.markWanted(Position);
  }
}

auto PlacementPass::waitsBesideIdlePool(const TaskGroup &Group) -> bool {
  const auto Waited = Now - Group.Job->waitingSince(Group.Step).value_or(Now);
  return !Group.NotTried && Waited >= Scheduler.Policy.MaxWaitBesideIdlePool &&
         poolUseOf(Group) < Scheduler.Policy.IdlePoolUse;
}

auto PlacementPass::speedClassOf(const WorkerEntry &Worker) const
    -> SpeedClass {
  return SpeedsKnown ? scheduling::speedClassOf(Worker.TimeFactor) : 0;
}

auto PlacementPass::updateReserveSpeeds() -> void {
  if (!SpeedsKnown)
    return;
  Scheduler.Reserve.forgetOldArrivals(Now);
  auto Fastest = std::numeric_limits<SpeedClass>::max();
  for (const auto &[Id, Entry] : Scheduler.Workers)
    if (Entry.isOpen())
      Fastest = std::min(Fastest, speedClassOf(Entry));
  ReserveSpeeds.Slowest =
      std::max(Fastest, Scheduler.Reserve.slowestUsefulClass());
}

auto PlacementPass::mayUseReserve(const TaskGroup &Group) const -> bool {
  const auto &Job = *Group.Job;
  if (Job.Spec.Priority == 0 || Group.JobLateness != Lateness::OnTime)
    return true;
  const auto &Policy = Scheduler.Policy;
  return seconds(Now - Job.SubmittedAt) >
         std::min(Job.ObjectiveSeconds * Policy.ReserveWaitFraction,
                  seconds(Policy.MaxReserveWait));
}

auto PlacementPass::sharesOutsideReserve(const TaskGroup &Group) const
    -> std::vector<PoolShare> {
  const auto Gpus = Group.spec().Need.Gpus;
  if (Gpus == 0 || ReservedGpus == 0 || mayUseReserve(Group))
    return {{{}, Group.TaskCount}};
  const auto Unreserved = std::max<std::int64_t>(
      0, Candidates.freeGpusWithin(ReserveSpeeds) - ReservedGpus);
  const PoolShare WholePool{{},
                            static_cast<std::uint32_t>(std::min<std::int64_t>(
                                Group.TaskCount, Unreserved / Gpus))};
  if (ReserveSpeeds == SpeedRange{})
    return {WholePool};
  const PoolShare SlowWorkers{{ReserveSpeeds.Slowest + 1, SpeedRange{}.Slowest},
                              Group.TaskCount};
  if (Group.Speeds.slowestInTime() >= SlowWorkers.Speeds.Fastest)
    return {SlowWorkers, WholePool};
  return {WholePool, SlowWorkers};
}

auto PlacementPass::placeGang(TaskGroup &Gang) -> void {
  if (placeInTime(Gang))
    return;
  auto Shares = sharesOutsideReserve(Gang);
  const bool IsHeldBack = std::erase_if(Shares, [&](const PoolShare &Share) {
                            return Share.MaxTasks < Gang.TaskCount;
                          }) > 0;
  if (IsHeldBack)
    Gang.NotTried = WaitReason::Reserve;
  // A gang that may be spread takes a rack that has room all the same.
  Gang.StaysInRack = prefersSingleRack(Gang);
  if (placeGangIn(Shares, Gang))
    return;
  if (Gang.StaysInRack && !Shares.empty() && !mustStayInRack(Gang)) {
    Gang.StaysInRack = false;
    if (placeGangIn(Shares, Gang))
      return;
  }
  if (Gang.Job->Spec.Priority == 0)
    placeAfterStops(Gang, shapeOf(Gang));
}

auto PlacementPass::placeGangIn(const std::vector<PoolShare> &Shares,
                                TaskGroup &Gang) -> bool {
  return std::any_of(Shares.begin(), Shares.end(), [&](const auto &Share) {
    Gang.AllowedSpeeds = Share.Speeds;
    return placeNow(Gang, shapeOf(Gang)) > 0;
  });
}

auto PlacementPass::placeTasks(TaskGroup &Group) -> void {
  if (placeInTime(Group))
    return;
  const auto Shares = sharesOutsideReserve(Group);
  auto Remaining = Group.TaskCount;
  bool IsTried = false;
  for (const auto &Share : Shares) {
    Group.TaskCount = std::min(Remaining, Share.MaxTasks);
    if (Group.TaskCount == 0)
      continue;
    IsTried = true;
    Group.AllowedSpeeds = Share.Speeds;
    Group.StaysInRack = mustStayInRack(Group);
    Remaining -= placeNow(Group, shapeOf(Group));
  }
  if (!IsTried)
    Group.NotTried = WaitReason::Reserve;
  if (Group.Job->Spec.Priority == 0)
    placeTasksAfterStops(Group, Remaining);
}

auto PlacementPass::placeTasksAfterStops(TaskGroup &Group, std::uint32_t Count)
    -> std::uint32_t {
  // The tasks are equal, so once one does not fit, the others do not either.
  Group.TaskCount = 1;
  Group.StaysInRack = false;
  const auto Shape = shapeOf(Group);
  std::uint32_t Placed = 0;
  while (Placed < Count && placeAfterStops(Group, Shape))
    ++Placed;
  return Placed;
}

auto PlacementPass::isWorthWaitingForSpeed(const TaskGroup &Group) const
    -> bool {
  const auto &Classes = Candidates.speedClasses();
  if (Group.Job->Spec.Priority != 0 || Classes.size() <= 1 ||
      Group.JobLateness != Lateness::OnTime || Search.reclaimsGuarantee(Group))
    return false;
  const auto Slowest = Group.Speeds.slowestPossible();
  return Slowest >= Classes.front() && Slowest < Classes.back() &&
         Now - Group.Job->speedWaitSince(Group.Step).value_or(Now) <
             Scheduler.Policy.MaxSpeedWait;
}

auto PlacementPass::placeInTime(TaskGroup &Group) -> bool {
  if (!isWorthWaitingForSpeed(Group))
    return false;
  const auto TaskCount = Group.TaskCount;
  Group.StaysInRack = prefersSingleRack(Group);
  Group.AllowedSpeeds.Slowest = Group.Speeds.slowestPossible();
  if (!Search.fitsWhenEmpty(Group)) {
    Group.AllowedSpeeds = {};
    return false;
  }
  const auto Placed = placeNow(Group, shapeOf(Group));
  if (Placed == TaskCount)
    return true;
  Group.Job->recordSpeedWait(Group.Step, Now);
  Group.NotTried = WaitReason::Speed;
  Group.AllowedSpeeds.Slowest =
      SpeedPreference::forTasks(
          Group.TaskTime, Group.TimeLeft - Scheduler.Policy.ExpectedStopTime)
          .slowestPossible();
  // Nothing that has to be stopped first is in time.
  if (Group.AllowedSpeeds.Slowest < Candidates.speedClasses().front())
    return true;
  if (Group.spec().Gang)
    placeAfterStops(Group, shapeOf(Group));
  else
    placeTasksAfterStops(Group, TaskCount - Placed);
  return true;
}

auto PlacementPass::diagnoseWaits(const std::vector<TaskGroup> &Groups)
    -> void {
  if (Now < Scheduler.NextWaitDiagnosis)
    return;
  Scheduler.NextWaitDiagnosis = Now + WaitDiagnosisInterval;
  auto Reports =
      WaitDiagnosis(Scheduler, Search, UsesQuarantined, Now).diagnose(Groups);
  std::move(Reports.begin(), Reports.end(),
            std::back_inserter(Scheduler.WaitReports));
}

auto PlacementPass::placeAfterStops(const TaskGroup &Group,
                                    const TaskGroupShape &Shape) -> bool {
  return reserveFreeAfterStops(Group, Shape) || preempt(Group, Shape);
}

auto PlacementPass::shapeOf(const TaskGroup &Group) const -> TaskGroupShape {
  const auto &Spec = Group.spec();
  return {Group.Job->Spec.Service,
          Spec.RequiredLabel,
          Spec.Need,
          Spec.Gang ? Group.TaskCount : 1,
          Group.StaysInRack,
          Spec.MaxPerWorker > 0,
          Group.AllowedSpeeds};
}

auto PlacementPass::findLayout(const TaskGroup &Group,
                               const TaskGroupShape &Shape,
                               ResourceSource Source,
                               PlacementFailureCache &KnownFailures,
                               double Budget) const -> std::optional<Layout> {
  if (KnownFailures.isKnownToFail(Shape, Budget))
    return std::nullopt;
  auto BestLayout = Search.cheapestLayout(Group, Source);
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
      Search.reclaimsGuarantee(Group) ? ReclaimFailures : PreemptionFailures;
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
    if (const auto Position = Candidates.positionOf(LiveRun->Worker)) {
      Candidates.addStopping(*Position,
                             LiveRun->Job->Spec.Steps[Victim.Step].Need);
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
  for (std::size_t Position = 0; Position < Candidates.size(); ++Position)
    Workers.push_back(Candidates[Position].Worker);
  Candidates.indexById();
  PreemptableRuns.collect(Workers);
}

auto PlacementPass::assignLayout(const TaskGroup &Group,
                                 const Layout &ChosenLayout) -> void {
  auto &Job = *Group.Job;
  const auto &Spec = Group.spec();
  const auto &Tasks = Job.Progress.Steps[Group.Step];
  const auto Indices =
      Job.placeableIndices(Group.Step, ChosenLayout.TaskCount, Now);
  std::uint32_t RunNumber = 0;
  for (const auto Index : Indices)
    RunNumber = std::max(RunNumber, Tasks[Index].LastRunNumber + 1);
  std::size_t Next = 0;
  std::set<std::size_t> Racks;
  auto Slowest = SpeedRange{}.Fastest;
  for (const auto &[Position, Count] : ChosenLayout.TaskCounts) {
    auto &Target = *Candidates[Position].Worker;
    Racks.insert(Target.Rack);
    Slowest = std::max(Slowest, Candidates[Position].Speed);
    for (std::uint32_t Task = 0; Task < Count; ++Task) {
      const auto Index = Indices[Next++];
      // The members of a gang share one run number.
      Scheduler.assign(Job, Group.Step, Index,
                       Spec.Gang ? RunNumber : Tasks[Index].LastRunNumber + 1,
                       Target, Now);
      Candidates.occupy(Position, Spec.Need);
    }
  }
  Scheduler.PlacementDecisions.push_back(
      {Job.Spec.Id, Group.Step, RunNumber, ChosenLayout.TaskCount, Racks.size(),
       seconds(Now - Job.SubmittedAt), speedChoice(Group, Slowest),
       timeFactorOf(Slowest)});
}

auto PlacementPass::speedChoice(const TaskGroup &Group,
                                SpeedClass Slowest) const
    -> std::optional<SpeedChoice> {
  const auto &Classes = Candidates.speedClasses();
  if (Classes.size() <= 1)
    return std::nullopt;
  const auto SlowestInTime = Group.Speeds.slowestInTime();
  if (Slowest > SlowestInTime)
    return SpeedChoice::Late;
  if (SlowestInTime < Classes.back())
    return SpeedChoice::Deadline;
  if (Slowest > Classes.front())
    return SpeedChoice::Slack;
  return std::nullopt;
}

auto PlacementPass::reserveLayout(const TaskGroup &Group,
                                  const Layout &ChosenLayout) -> void {
  const auto &Need = Group.spec().Need;
  for (const auto &[Position, Count] : ChosenLayout.TaskCounts)
    for (std::uint32_t Task = 0; Task < Count; ++Task)
      Candidates.reserve(Position, Need);
}

auto PlacementPass::prefersSingleRack(const TaskGroup &Group) -> bool {
  return Group.spec().SameRack && Group.TaskCount > 1;
}

auto PlacementPass::mustStayInRack(const TaskGroup &Group) -> bool {
  if (!prefersSingleRack(Group))
    return false;
  const auto &Job = *Group.Job;
  const auto &Policy = Scheduler.Policy;
  // Earlier runs have used up part of the time of an urgent job.
  if (Job.Spec.Priority == 0)
    return Now - Job.SubmittedAt < Policy.MaxSameRackWait;
  const auto Waited = Now - Job.waitingSince(Group.Step).value_or(Now);
  if (Waited < Policy.MaxSameRackWait)
    return true;
  return Waited < Policy.MaxSameRackWaitOnBusyPool && !isPoolIdleFor(Group);
}

auto PlacementPass::poolUseOf(const TaskGroup &Group) -> double {
  // All workers of a shard belong to one pool.
  if (!PoolUse)
    PoolUse = poolUse(Scheduler.Workers, Group.Job->Spec.Service);
  return *PoolUse;
}

auto PlacementPass::isPoolIdleFor(const TaskGroup &Group) -> bool {
  constexpr std::uint32_t SpareFactor = 2;
  return poolUseOf(Group) < Scheduler.Policy.IdlePoolUse &&
         Search.roomFor(Group) >= Group.TaskCount * SpareFactor;
}

auto PlacementPass::preemptionBudget(const TaskGroup &Group) const -> double {
  const auto &Policy = Scheduler.Policy;
  if (Search.reclaimsGuarantee(Group))
    return PlacementFailureCache::UnlimitedBudget;
  return Group.Job->Work * Policy.MaxPreemptionCostRatio;
}

} // namespace jayramp::scheduling
