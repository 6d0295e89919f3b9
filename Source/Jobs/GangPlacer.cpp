#include "Jobs/GangPlacer.h"

#include "Jobs/SchedulerState.h"

#include <algorithm>
#include <tuple>

namespace jayramp {
namespace {

/// Places tried for an unused shape before it stays where it is. Each failed
/// one costs a repacking of the shapes in the way.
constexpr std::size_t ShapePlacesTried = 2;

} // namespace

GangPlacer::GangPlacer(SchedulerState &State, TimePoint Now)
    : State(State), Now(Now),
      Finder(BlockFinder::make(State.Installed, State.Policy.Rule)) {}

auto GangPlacer::startReserved() -> void {
  for (auto &[Key, Job] : State.Jobs) {
    if (Job.Phase != JobPhase::Reclaiming)
      continue;
    const bool Usable =
        std::all_of(Job.Accelerators.begin(), Job.Accelerators.end(),
                    [this](auto Index) { return State.Pool.isUsable(Index); });
    if (!Usable)
      State.endReservation(Job);
    else if (State.Pool.noneHeld(Job.Accelerators))
      State.start(Job, Now);
  }
}

auto GangPlacer::placeWaiting() -> void {
  AnyStopping =
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
  // A guaranteed start may have ended a reservation, so its job waits again but
  // is not in these lists; the next decision places it.
  for (auto *Job : Urgent)
    placeSurplus(*Job);
  for (auto *Job : Others)
    placeSurplus(*Job);
}

auto GangPlacer::placeGuaranteed(JobRecord &Job) -> bool {
  if (Job.Phase != JobPhase::Pending)
    return false;
  const auto Wanted = Job.Specification.Accelerators;
  std::size_t Spare = 0;
  for (const auto &[Id, Unit] : State.Plan.shapes()) {
    if (Unit.Account != Job.Specification.Account || Unit.Block.empty())
      continue;
    const auto Here = Unit.Block.size() - Unit.Held.size();
    Spare = Job.Specification.Adjacent ? std::max(Spare, Here) : Spare + Here;
  }
  if (Spare < Wanted)
    return false;
  const auto Saved = State.Plan;
  for (const bool Exclude : {true, false}) {
    if (Exclude && Job.FailedWorkers.empty())
      continue;
    std::optional<Choice> Best;
    GuaranteePlan BestPlan;
    // Places that stopping gangs still hold cost time, so they are used only if
    // that stops fewer gangs. A reclaim has a bound; other stops may take a
    // whole lease, longer than urgent work may wait, so they come last.
    for (const auto Included :
         {Stopping::None, Stopping::Reclaimed, Stopping::All}) {
      if (Included != Stopping::None && !AnyStopping)
        break;
      if (Included == Stopping::All && Best)
        break;
      auto Current = guaranteedClaims(Included);
      if (Exclude)
        excludeFailedWorkers(Job, Current);
      auto Chosen = chooseInShapes(Job, std::move(Current));
      if (Chosen && (!Best || victims(*Chosen) < victims(*Best))) {
        Best = std::move(Chosen);
        std::swap(BestPlan, State.Plan);
        if (victims(*Best) == 0)
          break;
      }
      State.Plan = Saved;
    }
    if (Best) {
      AnyStopping = AnyStopping || victims(*Best) > 0;
      State.Plan = std::move(BestPlan);
      State.assign(Job, std::move(Best->Accelerators), std::move(Best->Units),
                   Now);
      return true;
    }
  }
  return false;
}

auto GangPlacer::chooseInShapes(const JobRecord &Job,
                                BlockFinder::Occupancy Current)
    -> std::optional<Choice> {
  const auto Wanted = Job.Specification.Accelerators;
  struct Option {
    std::int32_t Id;
    std::uint32_t Spare;
    bool Unused;
  };
  std::vector<Option> Options;
  for (const auto &[Id, Unit] : State.Plan.shapes())
    if (Unit.Account == Job.Specification.Account &&
        Unit.Held.size() < Unit.Block.size())
      Options.push_back(
          {Id, static_cast<std::uint32_t>(Unit.Block.size() - Unit.Held.size()),
           Unit.Held.empty()});
  // An exact fit first, then shapes in use, so that unused ones stay movable.
  std::sort(
      Options.begin(), Options.end(), [&](const auto &Left, const auto &Right) {
        return std::make_tuple(Left.Spare != Wanted, Left.Unused, Left.Spare) <
               std::make_tuple(Right.Spare != Wanted, Right.Unused,
                               Right.Spare);
      });
  for (const auto &Next : Options) {
    if (Next.Spare < Wanted)
      continue;
    auto Taken =
        takeFromShape(Next.Id, Wanted, Job.Specification.Adjacent, Current);
    if (!Taken)
      continue;
    State.Plan.hold(Next.Id, *Taken);
    return Choice{std::move(*Taken),
                  std::vector<std::int32_t>(Wanted, Next.Id)};
  }
  if (Job.Specification.Adjacent)
    return std::nullopt;
  // A gang that need not be adjacent may use several shapes, largest first.
  std::stable_sort(Options.begin(), Options.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Spare > Right.Spare;
                   });
  Choice Chosen;
  for (const auto &Next : Options) {
    const auto Missing =
        Wanted - static_cast<std::uint32_t>(Chosen.Accelerators.size());
    if (Missing == 0)
      break;
    auto Taken =
        takeFromShape(Next.Id, std::min(Missing, Next.Spare), false, Current);
    if (!Taken)
      continue;
    State.Plan.hold(Next.Id, *Taken);
    for (auto Index : *Taken) {
      Current[Index] = BlockFinder::Unavailable;
      Chosen.Accelerators.push_back(Index);
      Chosen.Units.push_back(Next.Id);
    }
  }
  if (Chosen.Accelerators.size() < Wanted)
    return std::nullopt; // The caller restores the plan.
  return Chosen;
}

auto GangPlacer::takeFromShape(std::int32_t Unit, std::uint32_t Count,
                               bool Adjacent,
                               const BlockFinder::Occupancy &Current)
    -> std::optional<std::vector<std::uint32_t>> {
  const auto Size = State.Plan.shapes().at(Unit).Size;
  if (State.Plan.shapes().at(Unit).Held.empty()) {
    auto Open = Current;
    const auto Pinned = State.Plan.pinned(State.Pool.size(), Unit);
    for (std::size_t Index = 0; Index < Open.size(); ++Index)
      if (Pinned[Index] != 0)
        Open[Index] = BlockFinder::Unavailable;
    for (const auto &Block :
         Finder.findCandidates({Size, true, {}}, Open, ShapePlacesTried))
      if (Block.Accelerators == State.Plan.shapes().at(Unit).Block ||
          State.Plan.moveBlock(State.Installed, State.Pool.usable(), Unit,
                               Block.Accelerators))
        break;
  }
  BlockFinder::Occupancy Inside(Current.size(), BlockFinder::Unavailable);
  for (auto Index : State.Plan.spare(Unit))
    Inside[Index] = Current[Index];
  // The whole block is adjacent by construction.
  auto Found = Finder.findBest({Count, Adjacent && Count != Size, {}}, Inside);
  if (!Found)
    return std::nullopt;
  return std::move(Found->Accelerators);
}

auto GangPlacer::guaranteedClaims(Stopping Included) const
    -> BlockFinder::Occupancy {
  BlockFinder::Occupancy Current(State.Pool.size(), BlockFinder::Free);
  const JobRecord *Last = nullptr;
  for (std::uint32_t Index = 0; Index < State.Pool.size(); ++Index) {
    if (!State.Pool.isUsable(Index)) {
      Current[Index] = BlockFinder::Unavailable;
      continue;
    }
    for (auto Key : {State.Pool.holder(Index), State.Pool.reservedFor(Index)}) {
      if (Key == AcceleratorPool::NoJob)
        continue;
      if (Last == nullptr || Last->Key != Key)
        Last = &State.Jobs.at(Key);
      if (Last->Phase == JobPhase::Stopping) {
        if (Included == Stopping::None ||
            (Included == Stopping::Reclaimed &&
             Last->CurrentWaitReason != WaitReason::Reclaiming))
          Current[Index] = BlockFinder::Unavailable;
      } else if (Current[Index] != BlockFinder::Unavailable) {
        Current[Index] =
            Last->Guaranteed ? BlockFinder::Unavailable : Last->StartSequence;
      }
    }
  }
  return Current;
}

auto GangPlacer::placeSurplus(JobRecord &Job) -> bool {
  if (Job.Phase != JobPhase::Pending)
    return false;
  const auto &Wanted = Job.Specification;
  const auto *Account = State.policyOf(Wanted.Account);
  if (Account != nullptr && Account->AcceleratorQuota != 0 &&
      State.holdings(Wanted.Account) + Wanted.Accelerators >
          Account->AcceleratorQuota) {
    Job.CurrentWaitReason = WaitReason::OverQuota;
    return false;
  }
  const bool Head = !HeadPassed;
  const auto Kind = std::make_pair(Wanted.Accelerators, Wanted.Adjacent);
  const auto Free = State.Pool.freeCount();
  const bool Skip =
      !Head && (Free < Wanted.Accelerators ||
                (Job.FailedWorkers.empty() && Blocked.count(Kind) != 0));
  std::optional<BlockFinder::Block> Found;
  if (!Skip) {
    auto Current = surplusClaims(Job, Head);
    if (!Job.FailedWorkers.empty()) {
      auto Fewer = Current;
      excludeFailedWorkers(Job, Fewer);
      Found =
          Finder.findBest({Wanted.Accelerators, Wanted.Adjacent, {}}, Fewer);
    }
    if (!Found)
      Found =
          Finder.findBest({Wanted.Accelerators, Wanted.Adjacent, {}}, Current);
  }
  if (Found) {
    State.assign(Job, std::move(Found->Accelerators), {}, Now);
    return true;
  }
  HeadPassed = true;
  Blocked.insert(Kind);
  if (!Job.BlockedSince)
    Job.BlockedSince = Now;
  if (Wanted.Adjacent && Free >= Wanted.Accelerators)
    Job.CurrentWaitReason = WaitReason::WaitingForAdjacentCapacity;
  else if (Wanted.Priority != JobPriority::Surplus)
    Job.CurrentWaitReason = WaitReason::WouldBreakGuarantee;
  else
    Job.CurrentWaitReason = WaitReason::WaitingForCapacity;
  return false;
}

auto GangPlacer::surplusClaims(const JobRecord &Job, bool Head) const
    -> BlockFinder::Occupancy {
  BlockFinder::Occupancy Current(State.Pool.size(), BlockFinder::Unavailable);
  const bool Urgent = Job.Specification.Priority == JobPriority::Urgent;
  const bool MayReclaim =
      Head && Job.BlockedSince &&
      (Urgent || Now - *Job.BlockedSince >= State.Policy.PassingLimit);
  const JobRecord *Last = nullptr;
  for (std::uint32_t Index = 0; Index < State.Pool.size(); ++Index) {
    if (State.Pool.isFree(Index)) {
      Current[Index] = BlockFinder::Free;
      continue;
    }
    const auto Key = State.Pool.holder(Index);
    if (!MayReclaim || Key == AcceleratorPool::NoJob ||
        !State.Pool.isUsable(Index) ||
        State.Pool.reservedFor(Index) != AcceleratorPool::NoJob)
      continue;
    if (Last == nullptr || Last->Key != Key)
      Last = &State.Jobs.at(Key);
    const bool OtherUrgent =
        Last->Specification.Priority == JobPriority::Urgent;
    const auto Since = Urgent ? *Job.BlockedSince
                              : *Job.BlockedSince + State.Policy.PassingLimit;
    if (Last->Phase == JobPhase::Running && !Last->Guaranteed &&
        Last->StartedAt >= Since &&
        (OtherUrgent == Urgent ? Last->Key > Job.Key : Urgent))
      Current[Index] = Last->StartSequence;
  }
  return Current;
}

auto GangPlacer::excludeFailedWorkers(const JobRecord &Job,
                                      BlockFinder::Occupancy &Current) const
    -> void {
  for (const auto &Name : Job.FailedWorkers)
    if (const auto Worker = State.Installed.findWorker(Name)) {
      const auto &Range = State.Installed.workerRanges()[*Worker];
      for (auto Index = Range.First; Index < Range.First + Range.Count; ++Index)
        Current[Index] = BlockFinder::Unavailable;
    }
}

auto GangPlacer::victims(const Choice &Chosen) const -> std::size_t {
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
