#include "Jobs/GangPlacer.h"

#include "Jobs/SchedulerState.h"

#include <algorithm>
#include <tuple>

namespace jayramp {
namespace {

/// Number of blocks tried for an unused shape before it stays where it is. Each
/// failed try costs a repacking of the shapes that overlap the block.
constexpr std::size_t MaxBlocksTriedPerShape = 2;

} // namespace

GangPlacer::GangPlacer(SchedulerState &State, TimePoint Now)
    : State(State), Now(Now),
      Finder(BlockFinder::make(State.Cluster, State.Policy.Rule)) {}

auto GangPlacer::startReservedJobs() -> void {
  for (auto &[Key, Job] : State.Jobs) {
    if (Job.Phase != JobPhase::Reclaiming)
      continue;
    const bool Usable =
        std::all_of(Job.Accelerators.begin(), Job.Accelerators.end(),
                    [this](auto Index) { return State.Pool.isUsable(Index); });
    if (!Usable)
      State.cancelReservation(Job);
    else if (State.Pool.noneIsHeld(Job.Accelerators))
      State.startJob(Job, Now);
  }
}

auto GangPlacer::placeWaitingJobs() -> void {
  AnyGangStopping =
      std::any_of(State.Jobs.begin(), State.Jobs.end(), [](const auto &Entry) {
        return Entry.second.Phase == JobPhase::Stopping;
      });
  std::vector<JobRecord *> Urgent;
  std::vector<JobRecord *> Others;
  for (auto &[Key, Job] : State.Jobs)
    if (Job.Phase == JobPhase::Pending)
      (Job.Specification.Priority == JobPriority::Urgent ? Urgent : Others)
          .push_back(&Job);
  for (auto *Job : Urgent)
    placeGuaranteed(*Job);
  for (auto *Job : Others)
    if (Job->Specification.Priority == JobPriority::Guaranteed)
      placeGuaranteed(*Job);
  // Starting a guaranteed job may have cancelled a reservation. The job that
  // lost it is pending again but not in these lists; the next decision places
  // it.
  for (auto *Job : Urgent)
    placeSurplus(*Job);
  for (auto *Job : Others)
    placeSurplus(*Job);
}

auto GangPlacer::placeGuaranteed(JobRecord &Job) -> bool {
  if (Job.Phase != JobPhase::Pending)
    return false;
  const auto GangSize = Job.Specification.Accelerators;
  std::size_t FreeCount = 0;
  for (const auto &[Id, Shape] : State.Plan.shapes()) {
    if (Shape.Account != Job.Specification.Account || Shape.Block.empty())
      continue;
    const auto FreeInShape = Shape.Block.size() - Shape.HeldAccelerators.size();
    FreeCount = Job.Specification.Adjacent ? std::max(FreeCount, FreeInShape)
                                           : FreeCount + FreeInShape;
  }
  if (FreeCount < GangSize)
    return false;
  const auto SavedPlan = State.Plan;
  for (const bool ExcludeFailedWorkers : {true, false}) {
    if (ExcludeFailedWorkers && Job.FailedWorkers.empty())
      continue;
    std::optional<Choice> Best;
    GuaranteePlan BestPlan;
    // Waiting for accelerators of stopping gangs delays the start, so they are
    // used only if that stops fewer running gangs. A reclaim has a time limit,
    // but other stops may last until the lease expires, which is longer than
    // urgent work may wait. So these are considered last.
    for (const auto CountedAsFree :
         {StoppingGangs::None, StoppingGangs::Reclaimed, StoppingGangs::All}) {
      if (CountedAsFree != StoppingGangs::None && !AnyGangStopping)
        break;
      if (CountedAsFree == StoppingGangs::All && Best)
        break;
      auto CurrentOccupancy = occupancyForGuaranteed(CountedAsFree);
      if (ExcludeFailedWorkers)
        excludeFailedWorkers(Job, CurrentOccupancy);
      auto Chosen = chooseFromGuarantee(Job, std::move(CurrentOccupancy));
      if (Chosen && (!Best || victimCount(*Chosen) < victimCount(*Best))) {
        Best = std::move(Chosen);
        std::swap(BestPlan, State.Plan);
        if (victimCount(*Best) == 0)
          break;
      }
      State.Plan = SavedPlan;
    }
    if (Best) {
      AnyGangStopping = AnyGangStopping || victimCount(*Best) > 0;
      State.Plan = std::move(BestPlan);
      State.assignAccelerators(Job, std::move(Best->Accelerators),
                               std::move(Best->ShapeIds), Now);
      return true;
    }
  }
  return false;
}

auto GangPlacer::chooseFromGuarantee(const JobRecord &Job,
                                     BlockFinder::Occupancy CurrentOccupancy)
    -> std::optional<Choice> {
  const auto GangSize = Job.Specification.Accelerators;
  struct Option {
    std::int32_t Id;
    std::uint32_t FreeCount;
    bool Unused;
  };
  std::vector<Option> Options;
  for (const auto &[Id, Shape] : State.Plan.shapes())
    if (Shape.Account == Job.Specification.Account &&
        Shape.HeldAccelerators.size() < Shape.Block.size())
      Options.push_back(
          {Id,
           static_cast<std::uint32_t>(Shape.Block.size() -
                                      Shape.HeldAccelerators.size()),
           Shape.HeldAccelerators.empty()});
  // Prefer an exact fit, then shapes in use, so that the blocks of unused
  // shapes remain movable.
  std::sort(Options.begin(), Options.end(),
            [&](const auto &Left, const auto &Right) {
              return std::make_tuple(Left.FreeCount != GangSize, Left.Unused,
                                     Left.FreeCount) <
                     std::make_tuple(Right.FreeCount != GangSize, Right.Unused,
                                     Right.FreeCount);
            });
  for (const auto &Shape : Options) {
    if (Shape.FreeCount < GangSize)
      continue;
    auto Accelerators = chooseFromShape(
        Shape.Id, GangSize, Job.Specification.Adjacent, CurrentOccupancy);
    if (!Accelerators)
      continue;
    State.Plan.hold(Shape.Id, *Accelerators);
    return Choice{std::move(*Accelerators),
                  std::vector<std::int32_t>(GangSize, Shape.Id)};
  }
  if (Job.Specification.Adjacent)
    return std::nullopt;
  // A gang that does not have to be adjacent may use several shapes; take those
  // with the most free accelerators first.
  std::stable_sort(Options.begin(), Options.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.FreeCount > Right.FreeCount;
                   });
  Choice Chosen;
  for (const auto &Shape : Options) {
    const auto Remaining =
        GangSize - static_cast<std::uint32_t>(Chosen.Accelerators.size());
    if (Remaining == 0)
      break;
    auto Accelerators =
        chooseFromShape(Shape.Id, std::min(Remaining, Shape.FreeCount), false,
                        CurrentOccupancy);
    if (!Accelerators)
      continue;
    State.Plan.hold(Shape.Id, *Accelerators);
    for (auto Index : *Accelerators) {
      CurrentOccupancy[Index] = BlockFinder::Unavailable;
      Chosen.Accelerators.push_back(Index);
      Chosen.ShapeIds.push_back(Shape.Id);
    }
  }
  if (Chosen.Accelerators.size() < GangSize)
    return std::nullopt; // The caller restores the plan.
  return Chosen;
}

auto GangPlacer::chooseFromShape(std::int32_t ShapeId, std::uint32_t Count,
                                 bool Adjacent,
                                 const BlockFinder::Occupancy &CurrentOccupancy)
    -> std::optional<std::vector<std::uint32_t>> {
  const auto Size = State.Plan.shapes().at(ShapeId).Size;
  if (State.Plan.shapes().at(ShapeId).HeldAccelerators.empty()) {
    auto Available = CurrentOccupancy;
    const auto Immovable =
        State.Plan.immovableAccelerators(State.Pool.size(), ShapeId);
    for (std::size_t Index = 0; Index < Available.size(); ++Index)
      if (Immovable[Index] != 0)
        Available[Index] = BlockFinder::Unavailable;
    for (const auto &Block : Finder.findCandidates({Size, true, {}}, Available,
                                                   MaxBlocksTriedPerShape))
      if (Block.Accelerators == State.Plan.shapes().at(ShapeId).Block ||
          State.Plan.moveBlock(State.Cluster, State.Pool.usable(), ShapeId,
                               Block.Accelerators))
        break;
  }
  BlockFinder::Occupancy WithinBlock(CurrentOccupancy.size(),
                                     BlockFinder::Unavailable);
  for (auto Index : State.Plan.freeAccelerators(ShapeId))
    WithinBlock[Index] = CurrentOccupancy[Index];
  // The whole block is adjacent by construction, so adjacency is not checked if
  // the gang fills it.
  auto Found =
      Finder.findBest({Count, Adjacent && Count != Size, {}}, WithinBlock);
  if (!Found)
    return std::nullopt;
  return std::move(Found->Accelerators);
}

auto GangPlacer::occupancyForGuaranteed(StoppingGangs CountedAsFree) const
    -> BlockFinder::Occupancy {
  BlockFinder::Occupancy CurrentOccupancy(State.Pool.size(), BlockFinder::Free);
  const JobRecord *Holder = nullptr;
  for (std::uint32_t Index = 0; Index < State.Pool.size(); ++Index) {
    if (!State.Pool.isUsable(Index)) {
      CurrentOccupancy[Index] = BlockFinder::Unavailable;
      continue;
    }
    for (auto Key : {State.Pool.holder(Index), State.Pool.reservedFor(Index)}) {
      if (Key == AcceleratorPool::NoJob)
        continue;
      if (Holder == nullptr || Holder->Key != Key)
        Holder = &State.Jobs.at(Key);
      if (Holder->Phase == JobPhase::Stopping) {
        if (CountedAsFree == StoppingGangs::None ||
            (CountedAsFree == StoppingGangs::Reclaimed &&
             Holder->CurrentWaitReason != WaitReason::Reclaiming))
          CurrentOccupancy[Index] = BlockFinder::Unavailable;
      } else if (CurrentOccupancy[Index] != BlockFinder::Unavailable) {
        CurrentOccupancy[Index] = Holder->Guaranteed ? BlockFinder::Unavailable
                                                     : Holder->StartSequence;
      }
    }
  }
  return CurrentOccupancy;
}

auto GangPlacer::placeSurplus(JobRecord &Job) -> bool {
  if (Job.Phase != JobPhase::Pending)
    return false;
  const auto &Specification = Job.Specification;
  const auto *Account = State.findAccountPolicy(Specification.Account);
  if (Account != nullptr && Account->AcceleratorQuota != 0 &&
      State.heldAccelerators(Specification.Account) +
              Specification.Accelerators >
          Account->AcceleratorQuota) {
    Job.CurrentWaitReason = WaitReason::OverQuota;
    return false;
  }
  const bool IsHeadOfQueue = !HeadOfQueueSeen;
  const auto RequestKind =
      std::make_pair(Specification.Accelerators, Specification.Adjacent);
  const auto FreeCount = State.Pool.freeCount();
  const bool SkipSearch =
      !IsHeadOfQueue && (FreeCount < Specification.Accelerators ||
                         (Job.FailedWorkers.empty() &&
                          UnplaceableRequests.count(RequestKind) != 0));
  std::optional<BlockFinder::Block> Found;
  if (!SkipSearch) {
    auto CurrentOccupancy = occupancyForSurplus(Job, IsHeadOfQueue);
    if (!Job.FailedWorkers.empty()) {
      auto WithoutFailedWorkers = CurrentOccupancy;
      excludeFailedWorkers(Job, WithoutFailedWorkers);
      Found = Finder.findBest(
          {Specification.Accelerators, Specification.Adjacent, {}},
          WithoutFailedWorkers);
    }
    if (!Found)
      Found = Finder.findBest(
          {Specification.Accelerators, Specification.Adjacent, {}},
          CurrentOccupancy);
  }
  if (Found) {
    State.assignAccelerators(Job, std::move(Found->Accelerators), {}, Now);
    return true;
  }
  HeadOfQueueSeen = true;
  UnplaceableRequests.insert(RequestKind);
  if (!Job.BlockedSince)
    Job.BlockedSince = Now;
  if (Specification.Adjacent && FreeCount >= Specification.Accelerators)
    Job.CurrentWaitReason = WaitReason::WaitingForAdjacentCapacity;
  else if (Specification.Priority != JobPriority::Surplus)
    Job.CurrentWaitReason = WaitReason::WouldBreakGuarantee;
  else
    Job.CurrentWaitReason = WaitReason::WaitingForCapacity;
  return false;
}

auto GangPlacer::occupancyForSurplus(const JobRecord &Job,
                                     bool IsHeadOfQueue) const
    -> BlockFinder::Occupancy {
  BlockFinder::Occupancy CurrentOccupancy(State.Pool.size(),
                                          BlockFinder::Unavailable);
  const bool Urgent = Job.Specification.Priority == JobPriority::Urgent;
  const bool MayReclaim =
      IsHeadOfQueue && Job.BlockedSince &&
      (Urgent || Now - *Job.BlockedSince >= State.Policy.StarvationTimeout);
  const JobRecord *Holder = nullptr;
  for (std::uint32_t Index = 0; Index < State.Pool.size(); ++Index) {
    if (State.Pool.isFree(Index)) {
      CurrentOccupancy[Index] = BlockFinder::Free;
      continue;
    }
    const auto Key = State.Pool.holder(Index);
    if (!MayReclaim || Key == AcceleratorPool::NoJob ||
        !State.Pool.isUsable(Index) ||
        State.Pool.reservedFor(Index) != AcceleratorPool::NoJob)
      continue;
    if (Holder == nullptr || Holder->Key != Key)
      Holder = &State.Jobs.at(Key);
    const bool HolderUrgent =
        Holder->Specification.Priority == JobPriority::Urgent;
    const auto EarliestStart =
        Urgent ? *Job.BlockedSince
               : *Job.BlockedSince + State.Policy.StarvationTimeout;
    if (Holder->Phase == JobPhase::Running && !Holder->Guaranteed &&
        Holder->StartedAt >= EarliestStart &&
        (HolderUrgent == Urgent ? Holder->Key > Job.Key : Urgent))
      CurrentOccupancy[Index] = Holder->StartSequence;
  }
  return CurrentOccupancy;
}

auto GangPlacer::excludeFailedWorkers(
    const JobRecord &Job, BlockFinder::Occupancy &CurrentOccupancy) const
    -> void {
  for (const auto &Name : Job.FailedWorkers)
    if (const auto Worker = State.Cluster.findWorker(Name)) {
      const auto &Range = State.Cluster.workerRanges()[*Worker];
      for (auto Index = Range.First; Index < Range.First + Range.Count; ++Index)
        CurrentOccupancy[Index] = BlockFinder::Unavailable;
    }
}

auto GangPlacer::victimCount(const Choice &Chosen) const -> std::size_t {
  std::set<JobKey> Gangs;
  for (auto Index : Chosen.Accelerators) {
    const auto Key = State.Pool.holder(Index);
    if (Key != AcceleratorPool::NoJob &&
        State.Jobs.at(Key).Phase == JobPhase::Running)
      Gangs.insert(Key);
  }
  return Gangs.size();
}

} // namespace jayramp
