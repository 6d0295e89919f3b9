#include "Scheduling/PlacementPass.h"

#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace jayramp::scheduling {

namespace {

/// An answer later than this multiple of the objective is worth nothing.
constexpr double WorthlessAfterObjectives = 3.0;

auto seconds(TimePoint::duration Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

auto isReady(const JobEntry &Job, std::uint32_t Step) -> bool {
  for (const auto Earlier : Job.Spec.Steps[Step].After)
    for (const auto &Task : Job.Progress.Steps[Earlier])
      if (!Task.Done)
        return false;
  return true;
}

/// Estimated duration of the longest chain of steps.
auto chainEstimate(const JobSpec &Spec) -> Milliseconds {
  std::vector<Milliseconds> Ends(Spec.Steps.size(), Milliseconds{0});
  Milliseconds Longest{0};
  for (std::size_t Step = 0; Step < Spec.Steps.size(); ++Step) {
    Milliseconds Start{0};
    for (const auto Earlier : Spec.Steps[Step].After)
      Start = std::max(Start, Ends[Earlier]);
    Ends[Step] = Start + Spec.Steps[Step].Estimate;
    Longest = std::max(Longest, Ends[Step]);
  }
  return Longest;
}

} // namespace

PlacementPass::PlacementPass(ShardScheduler &Scheduler, TimePoint Now)
    : Scheduler(Scheduler), Now(Now), Stoppable(Scheduler, Now) {}

auto PlacementPass::Unit::spec() const -> const StepSpec & {
  return Job->Spec.Steps[Step];
}

auto PlacementPass::run() -> void {
  collectSlots();
  ReservedGpus = Scheduler.urgentReserve(Now);
  auto Units = collectUnits();
  // Tasks of one step that are not a gang are alike: once one does not fit, the
  // others of the step do not either.
  const JobEntry *Full = nullptr;
  std::uint32_t FullStep = 0;
  for (const auto &Waiting : Units) {
    if (Waiting.Job == Full && Waiting.Step == FullStep &&
        !Waiting.spec().Gang && Waiting.Job->Spec.Priority > 0)
      continue;
    if (placeUnit(Waiting))
      continue;
    Full = Waiting.Job;
    FullStep = Waiting.Step;
  }
}

auto PlacementPass::collectSlots() -> void {
  std::map<std::string, std::size_t> Racks;
  for (auto &[Id, Entry] : Scheduler.Workers) {
    if (!Entry.Registered || !Entry.Reachable || Entry.Report.Draining ||
        Now < Entry.QuarantinedUntil)
      continue;
    const auto Rack = Racks.emplace(Entry.Report.Rack, Racks.size());
    RackFreeGpus.resize(Racks.size());
    Slot Candidate{&Entry, Rack.first->second, Entry.Report.Capacity, {}};
    Candidate.Free -= Entry.Used;
    RackFreeGpus[Candidate.Rack] += Candidate.Free.Gpus;
    FreeGpus += Candidate.Free.Gpus;
    Candidate.Soon = Candidate.Free;
    for (const auto &Id : Entry.Runs) {
      const auto &Alive = Scheduler.Runs.at(Id);
      const auto *Owner = Scheduler.job(Id.Job);
      if (Alive.Phase == RunPhase::Stopping && Owner)
        Candidate.Soon += Owner->Spec.Steps[Id.Step].Need;
    }
    Slots.push_back(Candidate);
  }
}

auto PlacementPass::collectUnits() -> std::vector<Unit> {
  // The order of submission tells any two jobs apart.
  using Rank = std::tuple<std::uint32_t, bool, int, std::uint64_t>;
  std::vector<std::pair<Rank, JobEntry *>> Ranked;
  for (auto &[Id, Job] : Scheduler.Jobs)
    if (!isFinal(Job.Progress.State) && !Job.OnHold)
      Ranked.push_back(
          {{Job.Spec.Priority, !Job.Guaranteed, latenessOf(Job), Job.Sequence},
           &Job});
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first < Right.first;
            });
  std::vector<Unit> Units;
  for (const auto &[Order, Job] : Ranked)
    addUnits(*Job, std::get<2>(Order), Units);
  return Units;
}

auto PlacementPass::addUnits(JobEntry &Job, int Lateness,
                             std::vector<Unit> &Units) -> void {
  for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
    const auto &Tasks = Job.Progress.Steps[Step];
    if (!isReady(Job, Step))
      continue;
    if (!Job.Spec.Steps[Step].Gang) {
      for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index)
        if (!Tasks[Index].Done && Tasks[Index].Worker.empty())
          Units.push_back(
              {&Job, Step, Index, 1, Tasks[Index].LastRunNumber + 1, Lateness});
      continue;
    }
    Unit Gang{&Job, Step,    0, static_cast<std::uint32_t>(Tasks.size()),
              0,    Lateness};
    bool Waits = true;
    for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
      Waits = Waits && !Tasks[Index].Done && Tasks[Index].Worker.empty();
      Gang.RunNumber = std::max(Gang.RunNumber, Tasks[Index].LastRunNumber + 1);
    }
    if (Waits)
      Units.push_back(Gang);
  }
}

auto PlacementPass::objectiveOf(const JobSpec &Spec) -> double {
  return seconds(chainEstimate(Spec)) * Spec.Stretch +
         seconds(Spec.TargetLatency);
}

auto PlacementPass::latenessOf(const JobEntry &Job) const -> int {
  const auto Estimate = chainEstimate(Job.Spec);
  const auto Objective = objectiveOf(Job.Spec);
  const auto Elapsed = seconds(Now - Job.SubmittedAt);
  if (Elapsed + seconds(Estimate) <= Objective)
    return 0;
  return Elapsed <= Objective * WorthlessAfterObjectives ? 1 : 2;
}

auto PlacementPass::waitsForReserve(const Unit &Waiting) const -> bool {
  const auto &Job = *Waiting.Job;
  if (Job.Spec.Priority == 0 || Waiting.Lateness > 0)
    return false;
  const auto Waited = seconds(Now - Job.SubmittedAt);
  if (Waited > objectiveOf(Job.Spec) * Scheduler.Policy.ReserveWaitFraction)
    return false;
  const auto Needed = Waiting.spec().Need.Gpus * std::int64_t(Waiting.Count);
  return FreeGpus - Needed < ReservedGpus;
}

auto PlacementPass::placeUnit(const Unit &Waiting) -> bool {
  if (waitsForReserve(Waiting))
    return false;
  const auto Shape = shapeOf(Waiting);
  if (placeNow(Waiting, Shape))
    return true;
  if (Waiting.Job->Spec.Priority != 0)
    return false;
  return claimSoon(Waiting, Shape) || preempt(Waiting, Shape);
}

auto PlacementPass::cheapestLayout(const Unit &Waiting, Room Source) const
    -> std::optional<Layout> {
  std::optional<Layout> Best;
  for (const auto &Group : groupsFor(Waiting)) {
    auto Found = Source == Room::WithVictims
                     ? layoutWithVictims(Waiting, Group)
                     : layoutWithin(Waiting, Group, Source == Room::Soon);
    if (Found && (!Best || Found->Cost < Best->Cost))
      Best = std::move(Found);
  }
  return Best;
}

auto PlacementPass::shapeOf(const Unit &Waiting) const -> TaskGroupShape {
  const auto &Spec = Waiting.spec();
  return {
      Waiting.Job->Spec.Service, Spec.RequiredLabel,   Spec.Need, Waiting.Count,
      mustStayInRack(Waiting),   Spec.MaxPerWorker > 0};
}

auto PlacementPass::layoutUnlessFailed(const Unit &Waiting,
                                       const TaskGroupShape &Shape, Room Source,
                                       PlacementFailureCache &Failed,
                                       double Budget) const
    -> std::optional<Layout> {
  if (Failed.rulesOut(Shape, Budget))
    return std::nullopt;
  auto Best = cheapestLayout(Waiting, Source);
  if (Best && Best->Cost <= Budget)
    return Best;
  Failed.add(Shape, Best ? Best->Cost : PlacementFailureCache::NoRoom);
  return std::nullopt;
}

auto PlacementPass::placeNow(const Unit &Waiting, const TaskGroupShape &Shape)
    -> bool {
  const auto Best = layoutUnlessFailed(Waiting, Shape, Room::Now, FailedNow);
  if (!Best)
    return false;
  assignLayout(Waiting, *Best);
  return true;
}

auto PlacementPass::claimSoon(const Unit &Waiting, const TaskGroupShape &Shape)
    -> bool {
  const auto Best = layoutUnlessFailed(Waiting, Shape, Room::Soon, FailedSoon);
  if (!Best)
    return false;
  claimLayout(Waiting, *Best);
  return true;
}

auto PlacementPass::preempt(const Unit &Waiting, const TaskGroupShape &Shape)
    -> bool {
  if (!Stoppable.collected()) {
    std::vector<const WorkerEntry *> Workers;
    for (const auto &Candidate : Slots)
      Workers.push_back(Candidate.Worker);
    Stoppable.collect(Workers);
  }
  const auto Best = layoutUnlessFailed(
      Waiting, Shape, Room::WithVictims,
      reclaims(Waiting) ? FailedReclaim : FailedUrgent, lossBudget(Waiting));
  if (!Best)
    return false;
  for (const auto &Victim : Best->Victims) {
    const auto *Alive = Scheduler.run(Victim);
    if (!Alive || Alive->Phase == RunPhase::Stopping)
      continue;
    for (std::size_t Position = 0; Position < Slots.size(); ++Position) {
      auto &Candidate = Slots[Position];
      if (Candidate.Worker->Report.Id != Alive->Worker)
        continue;
      Candidate.Soon +=
          Scheduler.Jobs.at(Victim.Job).Spec.Steps[Victim.Step].Need;
      Stoppable.remove(Position, Victim);
    }
    Scheduler.stopRun(Victim, StopReason::Preempted, Waiting.Job->Spec.Id);
  }
  FailedNow.clear();
  FailedSoon.clear();
  FailedUrgent.clear();
  FailedReclaim.clear();
  claimLayout(Waiting, *Best);
  return true;
}

auto PlacementPass::assignLayout(const Unit &Waiting, const Layout &Chosen)
    -> void {
  std::uint32_t Next = 0;
  std::set<std::size_t> Racks;
  const auto &Need = Waiting.spec().Need;
  for (const auto &[Position, Count] : Chosen.Parts)
    for (std::uint32_t Taken = 0; Taken < Count; ++Taken) {
      auto &Target = Slots[Position];
      Scheduler.assign(*Waiting.Job, Waiting.Step, Waiting.First + Next++,
                       Waiting.RunNumber, *Target.Worker, Now);
      Target.Free -= Need;
      Target.Soon -= Need;
      RackFreeGpus[Target.Rack] -= Need.Gpus;
      FreeGpus -= Need.Gpus;
      Racks.insert(Target.Rack);
    }
  Scheduler.Placements.push_back(
      {Waiting.Job->Spec.Id, Waiting.Step, Waiting.RunNumber, Waiting.Count,
       Racks.size(), seconds(Now - Waiting.Job->SubmittedAt)});
}

auto PlacementPass::claimLayout(const Unit &Waiting, const Layout &Chosen)
    -> void {
  const auto &Need = Waiting.spec().Need;
  for (const auto &[Position, Count] : Chosen.Parts)
    for (std::uint32_t Taken = 0; Taken < Count; ++Taken)
      Slots[Position].Soon -= Need;
}

auto PlacementPass::mustStayInRack(const Unit &Waiting) const -> bool {
  if (!Waiting.spec().SameRack || Waiting.Count < 2)
    return false;
  const auto Waited = Now - Waiting.Job->SubmittedAt;
  return Waiting.Job->Spec.Priority != 0 ||
         Waited < Scheduler.Policy.MaxSameRackWait;
}

auto PlacementPass::groupsFor(const Unit &Waiting) const
    -> std::vector<std::vector<std::size_t>> {
  std::map<std::string, std::vector<std::size_t>> ByRack;
  const bool OneRack = mustStayInRack(Waiting);
  for (std::size_t Position = 0; Position < Slots.size(); ++Position)
    if (mayRunOn(Waiting, Slots[Position]))
      ByRack[OneRack ? Slots[Position].Worker->Report.Rack : std::string()]
          .push_back(Position);
  std::vector<std::vector<std::size_t>> Groups;
  std::vector<std::size_t> Everywhere;
  bool AnyRackLargeEnough = false;
  for (auto &[Rack, Group] : ByRack) {
    std::uint32_t Room = 0;
    for (const auto Position : Group)
      Room += Slots[Position].Worker->Report.Capacity.maxTaskCount(
          Waiting.spec().Need);
    AnyRackLargeEnough = AnyRackLargeEnough || Room >= Waiting.Count;
    Everywhere.insert(Everywhere.end(), Group.begin(), Group.end());
    Groups.push_back(std::move(Group));
  }
  // A gang that no rack can ever hold runs slower, but it runs.
  if (!AnyRackLargeEnough && Groups.size() > 1)
    return {Everywhere};
  return Groups;
}

auto PlacementPass::mayRunOn(const Unit &Waiting, const Slot &Candidate) const
    -> bool {
  const auto &Report = Candidate.Worker->Report;
  if (Report.Service != Waiting.Job->Spec.Service)
    return false;
  const auto &Label = Waiting.spec().RequiredLabel;
  return Label.empty() || std::find(Report.Labels.begin(), Report.Labels.end(),
                                    Label) != Report.Labels.end();
}

auto PlacementPass::limitOn(const Unit &Waiting, const Slot &Candidate) const
    -> std::uint32_t {
  const auto Most = Waiting.spec().MaxPerWorker;
  if (Most == 0)
    return std::numeric_limits<std::uint16_t>::max();
  std::uint32_t Present = 0;
  for (const auto &Id : Candidate.Worker->Runs)
    if (Id.Job == Waiting.Job->Spec.Id && Id.Step == Waiting.Step)
      ++Present;
  return Present >= Most ? 0 : Most - Present;
}

auto PlacementPass::layoutWithin(const Unit &Waiting,
                                 const std::vector<std::size_t> &Group,
                                 bool UseSoon) const -> std::optional<Layout> {
  const auto &Spec = Waiting.spec();
  struct Option {
    std::size_t Position;
    std::uint32_t Room;
    std::tuple<bool, bool, std::int64_t, std::int64_t, std::int64_t> Preference;
  };
  std::vector<Option> Options;
  std::uint32_t Total = 0;
  std::int64_t GroupFreeGpus = 0;
  for (const auto Position : Group) {
    const auto &Candidate = Slots[Position];
    const auto Available =
        UseSoon ? Candidate.Soon
                : componentwiseMin(Candidate.Free, Candidate.Soon);
    GroupFreeGpus += std::max<std::int64_t>(Available.Gpus, 0);
    const auto Room = std::min(Available.maxTaskCount(Spec.Need),
                               limitOn(Waiting, Candidate));
    if (Room == 0)
      continue;
    const auto &Entry = *Candidate.Worker;
    const bool Suspect = !Entry.FailedJobs.empty();
    const bool FarFromData =
        !Spec.DataRack.empty() && Entry.Report.Rack != Spec.DataRack;
    // The fullest rack and worker first, so that whole ones stay free.
    Options.push_back({Position,
                       Room,
                       {Suspect, FarFromData, RackFreeGpus[Candidate.Rack],
                        Available.Gpus, Available.MemoryMb}});
    Total += Room;
  }
  if (Total < Waiting.Count)
    return std::nullopt;
  std::sort(Options.begin(), Options.end(),
            [](const Option &Left, const Option &Right) {
              return Left.Preference < Right.Preference;
            });
  Layout Found;
  auto Left = Waiting.Count;
  constexpr double SuspectCost = 1e6;
  constexpr double FarCost = 1e4;
  for (const auto &Choice : Options) {
    const auto Taken = std::min(Left, Choice.Room);
    Found.Parts.emplace_back(Choice.Position, Taken);
    Found.Cost += std::get<0>(Choice.Preference) ? SuspectCost : 0;
    Found.Cost += std::get<1>(Choice.Preference) ? FarCost : 0;
    Left -= Taken;
    if (Left == 0)
      break;
  }
  // Among groups, the one that is left with the least.
  Found.Cost += static_cast<double>(GroupFreeGpus);
  return Found;
}

auto PlacementPass::layoutWithVictims(
    const Unit &Waiting, const std::vector<std::size_t> &Group) const
    -> std::optional<Layout> {
  const auto &Spec = Waiting.spec();
  Layout Found;
  std::vector<Resources> Soon(Slots.size());
  std::vector<std::uint32_t> Taken(Slots.size());
  for (const auto Position : Group)
    Soon[Position] = Slots[Position].Soon;
  for (std::size_t Member = 0; Member < Waiting.Count; ++Member) {
    std::optional<std::size_t> BestPosition;
    std::vector<RunId> BestVictims;
    double BestCost = 0;
    for (const auto Position : Group) {
      const auto &Candidate = Slots[Position];
      if (Taken[Position] >= limitOn(Waiting, Candidate))
        continue;
      auto Available = Soon[Position];
      std::vector<RunId> Victims;
      double Cost = 0;
      if (!Available.covers(Spec.Need)) {
        for (const auto &Choice : Stoppable.on(Position)) {
          if (!mayBeStoppedFor(Waiting, Choice) ||
              Found.Victims.contains(Choice.Id))
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
      if (BestPosition && Cost >= BestCost)
        continue;
      BestPosition = Position;
      BestVictims = std::move(Victims);
      BestCost = Cost;
    }
    if (!BestPosition)
      return std::nullopt;
    for (const auto &Victim : BestVictims)
      for (const auto &Id : Stoppable.gangOf(Victim)) {
        if (!Found.Victims.insert(Id).second)
          continue;
        const auto *Alive = Scheduler.run(Id);
        for (const auto Position : Group)
          if (Slots[Position].Worker->Report.Id == Alive->Worker)
            Soon[Position] +=
                Scheduler.Jobs.at(Id.Job).Spec.Steps[Id.Step].Need;
      }
    Soon[*BestPosition] -= Spec.Need;
    ++Taken[*BestPosition];
    Found.Cost += BestCost;
    Found.Parts.emplace_back(*BestPosition, 1);
  }
  return Found;
}

auto PlacementPass::lossBudget(const Unit &Waiting) const -> double {
  const auto &Policy = Scheduler.Policy;
  if (reclaims(Waiting))
    return PlacementFailureCache::AnyCost;
  double Work = 0;
  for (const auto &Step : Waiting.Job->Spec.Steps)
    Work += Step.Need.coreEquivalents() * Step.Count * seconds(Step.Estimate);
  return Work * Policy.MaxPreemptionCostRatio;
}

auto PlacementPass::reclaims(const Unit &Waiting) const -> bool {
  return Waiting.Job->Guaranteed && Now - Waiting.Job->SubmittedAt >=
                                        Scheduler.Policy.GuaranteeReclaimDelay;
}

auto PlacementPass::mayBeStoppedFor(const Unit &Waiting,
                                    const PreemptionCandidate &Candidate) const
    -> bool {
  if (Candidate.Priority > Waiting.Job->Spec.Priority)
    return true;
  // Equally urgent work of others is stopped only where the guarantee would
  // otherwise be missed.
  return reclaims(Waiting) && !Candidate.Guaranteed;
}

} // namespace jayramp::scheduling
