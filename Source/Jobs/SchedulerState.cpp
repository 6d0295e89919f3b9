#include "Jobs/SchedulerState.h"

#include "Jobs/BlockFinder.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jayramp {

SchedulerState::SchedulerState(Topology Installed,
                               std::vector<AccountPolicy> Accounts,
                               SchedulerPolicy Policy)
    : Installed(std::move(Installed)), Accounts(std::move(Accounts)),
      Policy(Policy),
      Pool(AcceleratorPool::make(this->Installed.acceleratorCount())),
      Lost(this->Installed.workers().size(), false),
      Leaving(this->Installed.workers().size(), false) {
  Plan.setAccounts(this->Accounts);
  repairPlan();
}

auto SchedulerState::find(const std::string &Id) -> JobRecord * {
  const auto Found = Keys.find(Id);
  return Found == Keys.end() ? nullptr : &Jobs.at(Found->second);
}

auto SchedulerState::find(const std::string &Id) const -> const JobRecord * {
  const auto Found = Keys.find(Id);
  return Found == Keys.end() ? nullptr : &Jobs.at(Found->second);
}

auto SchedulerState::policyOf(const std::string &Account) const
    -> const AccountPolicy * {
  for (const auto &Entry : Accounts)
    if (Entry.Name == Account)
      return &Entry;
  return nullptr;
}

auto SchedulerState::holdings(const std::string &Account) const
    -> std::uint32_t {
  const auto Found = Holdings.find(Account);
  return Found == Holdings.end() ? 0 : Found->second;
}

auto SchedulerState::places(const JobRecord &Job) const
    -> std::vector<AcceleratorPlace> {
  std::vector<AcceleratorPlace> Places;
  for (std::size_t Index = 0; Index < Job.Accelerators.size(); ++Index) {
    const auto Accelerator = Job.Accelerators[Index];
    const auto Worker = Installed.workerOf(Accelerator);
    std::int32_t Ordinal = -1;
    if (Job.Guaranteed) {
      const auto Unit = Plan.shapes().find(Job.GuaranteeUnits[Index]);
      if (Unit != Plan.shapes().end())
        Ordinal = Unit->second.Ordinal;
    }
    Places.push_back({Installed.workers()[Worker].Name,
                      Accelerator - Installed.workerRanges()[Worker].First,
                      Ordinal});
  }
  return Places;
}

auto SchedulerState::workersOf(const JobRecord &Job) const
    -> std::vector<std::uint32_t> {
  std::set<std::uint32_t> Workers;
  for (auto Index : Job.Accelerators)
    Workers.insert(Installed.workerOf(Index));
  return {Workers.begin(), Workers.end()};
}

auto SchedulerState::largestFreeBlock() const -> std::uint32_t {
  BlockFinder::Occupancy Current(Pool.size(), BlockFinder::Unavailable);
  for (std::uint32_t Index = 0; Index < Pool.size(); ++Index)
    if (Pool.isFree(Index))
      Current[Index] = BlockFinder::Free;
  return BlockFinder::make(Installed, Policy.Rule)
      .largestFreeBlockSize(Current, Topology::MaxGangSize);
}

auto SchedulerState::refreshUsable() -> void {
  for (std::uint32_t Worker = 0; Worker < Installed.workers().size();
       ++Worker) {
    const bool Usable = !Lost[Worker] && !Leaving[Worker] &&
                        !Faults.isQuarantined(Installed.workers()[Worker].Name);
    const auto &Range = Installed.workerRanges()[Worker];
    for (auto Index = Range.First; Index < Range.First + Range.Count; ++Index)
      Pool.setUsable(Index, Usable);
  }
  repairPlan();
}

auto SchedulerState::repairPlan() -> void {
  Plan.repair(Installed, Pool.usable());
  PlanIsStale = false;
}

auto SchedulerState::assign(JobRecord &Job,
                            std::vector<std::uint32_t> Accelerators,
                            std::vector<std::int32_t> Units, TimePoint Now)
    -> void {
  std::vector<JobRecord *> Victims;
  for (auto Index : Accelerators) {
    const auto Other = Pool.reservedFor(Index);
    if (Other != AcceleratorPool::NoJob)
      endReservation(Jobs.at(Other));
    const auto Key = Pool.holder(Index);
    if (Key == AcceleratorPool::NoJob)
      continue;
    auto &Holder = Jobs.at(Key);
    if (Holder.Phase == JobPhase::Running) {
      beginStop(Holder, WaitReason::Reclaiming);
      Victims.push_back(&Holder);
    }
  }
  std::sort(Victims.begin(), Victims.end(), [](auto *Left, auto *Right) {
    return Left->StartSequence > Right->StartSequence;
  });
  Job.Guaranteed = !Units.empty();
  Job.Accelerators = std::move(Accelerators);
  Job.GuaranteeUnits = std::move(Units);
  Job.Phase = JobPhase::Reclaiming;
  Job.CurrentWaitReason = WaitReason::Reclaiming;
  Job.StartSequence = NextStart++;
  ++Job.Attempt;
  Holdings[Job.Specification.Account] +=
      static_cast<std::uint32_t>(Job.Accelerators.size());
  Pool.reserve(Job.Accelerators, Job.Key);
  if (Pool.noneHeld(Job.Accelerators)) {
    start(Job, Now);
    return;
  }
  ReclaimGangs Reclaim{
      Job.Specification.Id, Job.Attempt, places(Job), {}, Job.Guaranteed};
  for (const auto *Victim : Victims)
    Reclaim.Victims.push_back({Victim->Specification.Id, Victim->Attempt});
  Outbox.emplace_back(std::move(Reclaim));
}

auto SchedulerState::start(JobRecord &Job, TimePoint Now) -> void {
  Pool.endReservation(Job.Accelerators, Job.Key);
  Pool.hold(Job.Accelerators, Job.Key);
  Job.Phase = JobPhase::Running;
  Job.CurrentWaitReason = WaitReason::None;
  Job.StartedAt = Now;
  Job.BlockedSince.reset();
  Job.FinishedWorkers.clear();
  Outbox.emplace_back(StartGang{Job.Specification.Id, Job.Attempt, places(Job),
                                Job.Guaranteed});
}

auto SchedulerState::endReservation(JobRecord &Job) -> void {
  Pool.endReservation(Job.Accelerators, Job.Key);
  detach(Job);
  clearPlaces(Job);
}

auto SchedulerState::beginStop(JobRecord &Job, WaitReason Reason) -> void {
  detach(Job);
  Job.Phase = JobPhase::Stopping;
  Job.CurrentWaitReason = Reason;
}

auto SchedulerState::stop(JobRecord &Job, WaitReason Reason, std::string Detail)
    -> void {
  beginStop(Job, Reason);
  Outbox.emplace_back(
      StopGang{Job.Specification.Id, Job.Attempt, Reason, std::move(Detail)});
}

auto SchedulerState::release(JobRecord &Job) -> void {
  Pool.release(Job.Accelerators, Job.Key);
  Pool.endReservation(Job.Accelerators, Job.Key);
  detach(Job);
  clearPlaces(Job);
}

auto SchedulerState::end(JobRecord &Job, JobOutcome End, WaitReport Report)
    -> void {
  Outbox.emplace_back(EndJob{Job.Specification.Id, End, std::move(Report)});
  Keys.erase(Job.Specification.Id);
  Jobs.erase(Job.Key);
}

auto SchedulerState::demote(JobRecord &Job) -> void { detach(Job); }

auto SchedulerState::detach(JobRecord &Job) -> void {
  if (!Job.Guaranteed)
    return;
  std::set<std::int32_t> Units(Job.GuaranteeUnits.begin(),
                               Job.GuaranteeUnits.end());
  for (auto Unit : Units)
    Plan.release(Unit, Job.Accelerators);
  Job.Guaranteed = false;
  Job.GuaranteeUnits.clear();
  repairPlan();
  const auto Moved =
      Plan.rebook(Installed, Pool.usable(), Job.Specification.Account);
  if (Moved.empty())
    return;
  for (auto &[Key, Other] : Jobs)
    for (auto &Unit : Other.GuaranteeUnits)
      if (const auto To = Moved.find(Unit); To != Moved.end())
        Unit = To->second;
}

auto SchedulerState::clearPlaces(JobRecord &Job) -> void {
  Holdings[Job.Specification.Account] -=
      static_cast<std::uint32_t>(Job.Accelerators.size());
  Job.Accelerators.clear();
  Job.GuaranteeUnits.clear();
  Job.Phase = JobPhase::Pending;
  Job.CurrentWaitReason = WaitReason::WaitingForCapacity;
}

} // namespace jayramp
