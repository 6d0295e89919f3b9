#include "Jobs/SchedulerState.h"

#include "Jobs/BlockFinder.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jayramp {

SchedulerState::SchedulerState(Topology Cluster,
                               std::vector<AccountPolicy> Accounts,
                               SchedulerPolicy Policy)
    : Cluster(std::move(Cluster)), Accounts(std::move(Accounts)),
      Policy(Policy),
      Pool(AcceleratorPool::make(this->Cluster.acceleratorCount())),
      IsLost(this->Cluster.workers().size(), false),
      IsLeaving(this->Cluster.workers().size(), false) {
  Plan.setAccounts(this->Accounts);
  repairPlan();
}

auto SchedulerState::findJob(const std::string &Id) -> JobRecord * {
  const auto Found = KeyById.find(Id);
  return Found == KeyById.end() ? nullptr : &Jobs.at(Found->second);
}

auto SchedulerState::findJob(const std::string &Id) const -> const JobRecord * {
  const auto Found = KeyById.find(Id);
  return Found == KeyById.end() ? nullptr : &Jobs.at(Found->second);
}

auto SchedulerState::findAccountPolicy(const std::string &Account) const
    -> const AccountPolicy * {
  for (const auto &Entry : Accounts)
    if (Entry.Name == Account)
      return &Entry;
  return nullptr;
}

auto SchedulerState::heldAccelerators(const std::string &Account) const
    -> std::uint32_t {
  const auto Found = HeldByAccount.find(Account);
  return Found == HeldByAccount.end() ? 0 : Found->second;
}

auto SchedulerState::placesOf(const JobRecord &Job) const
    -> std::vector<AcceleratorPlace> {
  std::vector<AcceleratorPlace> Places;
  for (std::size_t Index = 0; Index < Job.Accelerators.size(); ++Index) {
    const auto Accelerator = Job.Accelerators[Index];
    const auto Worker = Cluster.workerOf(Accelerator);
    std::int32_t ShapeIndex = -1;
    if (Job.Guaranteed) {
      const auto Shape = Plan.shapes().find(Job.GuaranteedShapeIds[Index]);
      if (Shape != Plan.shapes().end())
        ShapeIndex = Shape->second.IndexInAccount;
    }
    Places.push_back({Cluster.workers()[Worker].Name,
                      Accelerator - Cluster.workerRanges()[Worker].First,
                      ShapeIndex});
  }
  return Places;
}

auto SchedulerState::workersOf(const JobRecord &Job) const
    -> std::vector<std::uint32_t> {
  std::set<std::uint32_t> Workers;
  for (auto Index : Job.Accelerators)
    Workers.insert(Cluster.workerOf(Index));
  return {Workers.begin(), Workers.end()};
}

auto SchedulerState::largestFreeBlockSize() const -> std::uint32_t {
  BlockFinder::Occupancy CurrentOccupancy(Pool.size(),
                                          BlockFinder::Unavailable);
  for (std::uint32_t Index = 0; Index < Pool.size(); ++Index)
    if (Pool.isFree(Index))
      CurrentOccupancy[Index] = BlockFinder::Free;
  return BlockFinder::make(Cluster, Policy.Rule)
      .largestFreeBlockSize(CurrentOccupancy, Topology::MaxGangSize);
}

auto SchedulerState::updateUsableAccelerators() -> void {
  for (std::uint32_t Worker = 0; Worker < Cluster.workers().size(); ++Worker) {
    const bool Usable =
        !IsLost[Worker] && !IsLeaving[Worker] &&
        !FailureTracker.isQuarantined(Cluster.workers()[Worker].Name);
    const auto &Range = Cluster.workerRanges()[Worker];
    for (auto Index = Range.First; Index < Range.First + Range.Count; ++Index)
      Pool.setUsable(Index, Usable);
  }
  repairPlan();
}

auto SchedulerState::repairPlan() -> void {
  Plan.repairBlocks(Cluster, Pool.usable());
  PlanNeedsRepair = false;
}

auto SchedulerState::assignAccelerators(JobRecord &Job,
                                        std::vector<std::uint32_t> Accelerators,
                                        std::vector<std::int32_t> ShapeIds,
                                        TimePoint Now) -> void {
  std::vector<JobRecord *> Victims;
  for (auto Index : Accelerators) {
    const auto ReservingJob = Pool.reservedFor(Index);
    if (ReservingJob != AcceleratorPool::NoJob)
      cancelReservation(Jobs.at(ReservingJob));
    const auto Key = Pool.holder(Index);
    if (Key == AcceleratorPool::NoJob)
      continue;
    auto &Holder = Jobs.at(Key);
    if (Holder.Phase == JobPhase::Running) {
      markStopping(Holder, WaitReason::Reclaiming);
      Victims.push_back(&Holder);
    }
  }
  std::sort(Victims.begin(), Victims.end(), [](auto *Left, auto *Right) {
    return Left->StartSequence > Right->StartSequence;
  });
  Job.Guaranteed = !ShapeIds.empty();
  Job.Accelerators = std::move(Accelerators);
  Job.GuaranteedShapeIds = std::move(ShapeIds);
  Job.Phase = JobPhase::Reclaiming;
  Job.CurrentWaitReason = WaitReason::Reclaiming;
  Job.StartSequence = NextStartSequence++;
  ++Job.Attempt;
  HeldByAccount[Job.Specification.Account] +=
      static_cast<std::uint32_t>(Job.Accelerators.size());
  Pool.reserve(Job.Accelerators, Job.Key);
  if (Pool.noneIsHeld(Job.Accelerators)) {
    startJob(Job, Now);
    return;
  }
  ReclaimGangs Reclaim{
      Job.Specification.Id, Job.Attempt, placesOf(Job), {}, Job.Guaranteed};
  for (const auto *Victim : Victims)
    Reclaim.Victims.push_back({Victim->Specification.Id, Victim->Attempt});
  PendingDecisions.emplace_back(std::move(Reclaim));
}

auto SchedulerState::startJob(JobRecord &Job, TimePoint Now) -> void {
  Pool.cancelReservation(Job.Accelerators, Job.Key);
  Pool.hold(Job.Accelerators, Job.Key);
  Job.Phase = JobPhase::Running;
  Job.CurrentWaitReason = WaitReason::None;
  Job.StartedAt = Now;
  Job.BlockedSince.reset();
  Job.FinishedWorkers.clear();
  PendingDecisions.emplace_back(StartGang{Job.Specification.Id, Job.Attempt,
                                          placesOf(Job), Job.Guaranteed});
}

auto SchedulerState::cancelReservation(JobRecord &Job) -> void {
  Pool.cancelReservation(Job.Accelerators, Job.Key);
  releaseGuaranteedShapes(Job);
  clearPlacement(Job);
}

auto SchedulerState::markStopping(JobRecord &Job, WaitReason Reason) -> void {
  releaseGuaranteedShapes(Job);
  Job.Phase = JobPhase::Stopping;
  Job.CurrentWaitReason = Reason;
}

auto SchedulerState::stopGang(JobRecord &Job, WaitReason Reason,
                              std::string Detail) -> void {
  markStopping(Job, Reason);
  PendingDecisions.emplace_back(
      StopGang{Job.Specification.Id, Job.Attempt, Reason, std::move(Detail)});
}

auto SchedulerState::releaseAccelerators(JobRecord &Job) -> void {
  Pool.release(Job.Accelerators, Job.Key);
  Pool.cancelReservation(Job.Accelerators, Job.Key);
  releaseGuaranteedShapes(Job);
  clearPlacement(Job);
}

auto SchedulerState::endJob(JobRecord &Job, JobOutcome Outcome,
                            WaitReport Report) -> void {
  PendingDecisions.emplace_back(
      EndJob{Job.Specification.Id, Outcome, std::move(Report)});
  KeyById.erase(Job.Specification.Id);
  Jobs.erase(Job.Key);
}

auto SchedulerState::makeReclaimable(JobRecord &Job) -> void {
  releaseGuaranteedShapes(Job);
}

auto SchedulerState::releaseGuaranteedShapes(JobRecord &Job) -> void {
  if (!Job.Guaranteed)
    return;
  std::set<std::int32_t> ShapeIds(Job.GuaranteedShapeIds.begin(),
                                  Job.GuaranteedShapeIds.end());
  for (auto ShapeId : ShapeIds)
    Plan.release(ShapeId, Job.Accelerators);
  Job.Guaranteed = false;
  Job.GuaranteedShapeIds.clear();
  repairPlan();
  const auto ReplacedShapes = Plan.moveGangsToSmallerShapes(
      Cluster, Pool.usable(), Job.Specification.Account);
  if (ReplacedShapes.empty())
    return;
  for (auto &[Key, Other] : Jobs)
    for (auto &ShapeId : Other.GuaranteedShapeIds)
      if (const auto To = ReplacedShapes.find(ShapeId);
          To != ReplacedShapes.end())
        ShapeId = To->second;
}

auto SchedulerState::clearPlacement(JobRecord &Job) -> void {
  HeldByAccount[Job.Specification.Account] -=
      static_cast<std::uint32_t>(Job.Accelerators.size());
  Job.Accelerators.clear();
  Job.GuaranteedShapeIds.clear();
  Job.Phase = JobPhase::Pending;
  Job.CurrentWaitReason = WaitReason::WaitingForCapacity;
}

} // namespace jayramp
