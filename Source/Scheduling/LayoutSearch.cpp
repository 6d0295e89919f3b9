#include "Scheduling/LayoutSearch.h"

#include "Scheduling/CandidateWorkers.h"
#include "Scheduling/PreemptionCandidates.h"
#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace jayramp::scheduling {

namespace {

/// Costs that rank layouts without victims.
constexpr double DoubtfulWorkerCost = 1e6;
constexpr double RemoteDataCost = 1e4;

} // namespace

auto LayoutSearch::cheapestLayout(const TaskGroup &Group,
                                  ResourceSource Source) const
    -> std::optional<Layout> {
  auto OnAnyWorkers = cheapestLayoutWithin(Group.AllowedSpeeds, Group, Source);
  // Tasks that run far from their data are slowed down by more than the speed
  // of their workers.
  const bool IsPlacedByClass = Group.spec().Gang &&
                               Group.spec().DataRack.empty() &&
                               Source != ResourceSource::WithVictims;
  if (!OnAnyWorkers || !IsPlacedByClass || Workers.speedClasses().size() <= 1)
    return OnAnyWorkers;
  for (const auto &Speeds : Group.Speeds.rangesForGang(Workers.speedClasses(),
                                                       Group.AllowedSpeeds)) {
    auto Result = cheapestLayoutWithin(Speeds, Group, Source);
    if (Result && Result->Cost < DoubtfulWorkerCost)
      return Result;
  }
  return OnAnyWorkers;
}

auto LayoutSearch::cheapestLayoutWithin(const SpeedRange &Speeds,
                                        const TaskGroup &Group,
                                        ResourceSource Source) const
    -> std::optional<Layout> {
  std::optional<Layout> BestLayout;
  for (const auto &WorkerSet : eligibleWorkerSets(Speeds, Group)) {
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

auto LayoutSearch::eligibleWorkerSets(const SpeedRange &Speeds,
                                      const TaskGroup &Group) const
    -> std::vector<std::vector<std::size_t>> {
  if (Group.StaysInRack)
    return racksThatMayHold(Speeds, Group);
  std::vector<std::size_t> AllWorkers;
  AllWorkers.reserve(Workers.size());
  for (std::size_t Position = 0; Position < Workers.size(); ++Position)
    if (Speeds.contains(Workers[Position].Speed) &&
        Group.mayRunOn(*Workers[Position].Worker))
      AllWorkers.push_back(Position);
  return {std::move(AllWorkers)};
}

auto LayoutSearch::racksThatMayHold(const SpeedRange &Speeds,
                                    const TaskGroup &Gang) const
    -> std::vector<std::vector<std::size_t>> {
  std::vector<std::vector<std::size_t>> ByRack(Workers.rackCount());
  // Of all workers, whatever their speed.
  std::vector<std::uint32_t> Capacities(Workers.rackCount());
  std::vector<std::size_t> AllWorkers;
  const auto &Spec = Gang.spec();
  for (std::size_t Position = 0; Position < Workers.size(); ++Position) {
    if (!Gang.mayRunOn(*Workers[Position].Worker))
      continue;
    const auto &Entry = *Workers[Position].Worker;
    Capacities[Entry.Rack] +=
        std::min(Entry.Report.Capacity.maxTaskCount(Spec.Need),
                 Spec.MaxPerWorker > 0 ? Spec.MaxPerWorker : Gang.TaskCount);
    if (!Speeds.contains(Workers[Position].Speed))
      continue;
    ByRack[Entry.Rack].push_back(Position);
    AllWorkers.push_back(Position);
  }
  // A gang that is too large for every rack is spread over racks: it runs more
  // slowly, but otherwise it would never run.
  if (std::none_of(Capacities.begin(), Capacities.end(),
                   [&](auto Capacity) { return Capacity >= Gang.TaskCount; }))
    return {std::move(AllWorkers)};
  return ByRack;
}

auto LayoutSearch::layoutWithoutVictims(
    const TaskGroup &Group, const std::vector<std::size_t> &WorkerSet,
    bool IncludeStoppingRuns) const -> std::optional<Layout> {
  const auto &Spec = Group.spec();
  struct Option {
    std::tuple<bool, TimePoint, bool, bool, int, std::int64_t, std::int64_t,
               std::int64_t, std::size_t>
        Preference;
    std::uint32_t MaxTasks;

    auto position() const -> std::size_t { return std::get<8>(Preference); }
  };
  std::vector<Option> Options;
  std::uint32_t Total = 0;
  std::int64_t FreeGpusOfSet = 0;
  for (const auto Position : WorkerSet) {
    const auto &Candidate = Workers[Position];
    const auto Available =
        IncludeStoppingRuns ? Candidate.FreeAfterStops : Candidate.usable();
    FreeGpusOfSet += std::max<std::int64_t>(Available.Gpus, 0);
    if (!Available.covers(Spec.Need))
      continue;
    const auto MaxTasks =
        std::min(Available.maxTaskCount(Spec.Need),
                 Group.remainingWorkerLimit(*Candidate.Worker));
    if (MaxTasks == 0)
      continue;
    const auto &Entry = *Candidate.Worker;
    const bool IsDoubtful = Entry.isDoubtful(Now);
    const bool IsFarFromData =
        !Spec.DataRack.empty() && Entry.Report.Rack != Spec.DataRack;
    // Doubtful workers take turns, so that each that is sound is tried.
    // Among workers of one speed, fill the racks and workers with the least
    // free resources first, so that whole racks and workers stay free.
    Options.push_back(
        {{IsDoubtful, IsDoubtful ? Entry.TroubledAt : TimePoint(),
          IsFarFromData, Candidate.IsWanted && Spec.RequiredLabel.empty(),
          Group.Speeds.rankOf(Candidate.Speed),
          Workers.freeGpusOfRack(Entry.Rack), Available.Gpus,
          Available.MemoryMb, Position},
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
  while (Result.TaskCount < Group.TaskCount && !Options.empty()) {
    std::pop_heap(Options.begin(), Options.end(), IsWorse);
    const auto &Choice = Options.back();
    const auto TaskCount =
        std::min(Group.TaskCount - Result.TaskCount, Choice.MaxTasks);
    Result.TaskCounts.emplace_back(Choice.position(), TaskCount);
    Result.TaskCount += TaskCount;
    Result.Cost += std::get<0>(Choice.Preference) ? DoubtfulWorkerCost : 0;
    Result.Cost += std::get<2>(Choice.Preference) ? RemoteDataCost : 0;
    Options.pop_back();
  }
  // Prefer the set of workers that has the fewest free accelerators.
  Result.Cost += static_cast<double>(FreeGpusOfSet);
  return Result;
}

auto LayoutSearch::victimChoice(const TaskGroup &Group, std::size_t Position,
                                Resources Available, std::uint32_t PlacedCount,
                                const std::set<RunId> &ChosenVictims) const
    -> std::optional<VictimChoice> {
  if (PlacedCount >= Group.remainingWorkerLimit(*Workers[Position].Worker))
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

auto LayoutSearch::layoutWithVictims(
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
        .try_emplace(Position, Planned{Workers[Position].FreeAfterStops, 0})
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
        IsChanged ? Plan->second.Free : Workers[Position].FreeAfterStops,
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
        const auto Position = Workers.positionOf(LiveRun->Worker);
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

auto LayoutSearch::reclaimsGuarantee(const TaskGroup &Group) const -> bool {
  return Group.Job->Guaranteed && Now - Group.Job->SubmittedAt >=
                                      Scheduler.policy().GuaranteeReclaimDelay;
}

auto LayoutSearch::mayPreempt(const TaskGroup &Group,
                              const PreemptionCandidate &Candidate) const
    -> bool {
  if (Candidate.Priority > Group.Job->Spec.Priority)
    return true;
  // An equally urgent run without a guarantee is stopped only if the guarantee
  // would otherwise be missed.
  return reclaimsGuarantee(Group) && !Candidate.Guaranteed;
}

auto LayoutSearch::fitsWhenEmpty(const TaskGroup &Group) const -> bool {
  std::vector<std::uint32_t> Capacities(Group.StaysInRack ? Workers.rackCount()
                                                          : 1);
  for (std::size_t Position = 0; Position < Workers.size(); ++Position) {
    const auto &Candidate = Workers[Position];
    if (!Group.AllowedSpeeds.contains(Candidate.Speed) ||
        !Group.mayRunOn(*Candidate.Worker))
      continue;
    auto &Capacity = Capacities[Group.StaysInRack ? Candidate.Worker->Rack : 0];
    Capacity += std::min(
        Candidate.Worker->Report.Capacity.maxTaskCount(Group.spec().Need),
        Group.workerLimit());
    if (Capacity >= Group.unitSize())
      return true;
  }
  return false;
}

auto LayoutSearch::roomFor(const TaskGroup &Group) const -> std::uint32_t {
  std::uint32_t Count = 0;
  for (std::size_t Position = 0; Position < Workers.size(); ++Position)
    if (const auto &Candidate = Workers[Position];
        Group.mayRunOn(*Candidate.Worker) &&
        Candidate.usable().covers(Group.spec().Need))
      Count += std::min(Candidate.usable().maxTaskCount(Group.spec().Need),
                        Group.remainingWorkerLimit(*Candidate.Worker));
  return Count;
}

} // namespace jayramp::scheduling
