#include "Requests/SlotLedger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jayramp {

namespace {

constexpr double LatencyWeight = 0.2; ///< Weight of the newest answer.
// Limits one sample to this many times the average latency, so that a long
// request that was declared short does not make the worker appear slow.
constexpr double MaximumLatencyRatio = 5.0;

// Probability that a worker with a reduced traffic share is chosen whatever its
// load. At low load an idle healthy worker would otherwise always be preferred.
constexpr double ReducedShareProbability = 0.2;

} // namespace

SlotLedger::SlotLedger(SlotPolicy Policy)
    : Policy(Policy), Random(Policy.Seed) {}

auto SlotLedger::make(SlotPolicy Policy) -> Result<SlotLedger> {
  if (Policy.LongPercent > 100)
    return Error::make(ErrorKind::InvalidArgument, "LongPercent",
                       std::to_string(Policy.LongPercent) +
                           " is not a percentage",
                       "set a value from 0 to 100");
  if (Policy.ShortLimit <= Milliseconds(0))
    return Error::make(
        ErrorKind::InvalidArgument, "ShortLimit",
        "with a limit of 0 ms or less every request would count as long",
        "set a limit above 0 ms");
  if (Policy.Connections < 2)
    return Error::make(
        ErrorKind::InvalidArgument, "Connections",
        "one connection is reserved for status calls, and none is left for "
        "requests",
        "set at least 2");
  return SlotLedger(Policy);
}

auto SlotLedger::setLongLimits(std::uint32_t LongPercent,
                               Milliseconds ShortLimit) -> bool {
  if (LongPercent > 100 || ShortLimit <= Milliseconds(0))
    return false;
  Policy.LongPercent = LongPercent;
  Policy.ShortLimit = ShortLimit;
  return true;
}

auto SlotLedger::longSlotLimit(std::uint32_t Slots) const -> std::uint32_t {
  if (Policy.LongPercent == 0 || Slots == 0)
    return 0;
  std::uint32_t Limit = std::max(1U, Slots * Policy.LongPercent / 100);
  return Slots >= 2 ? std::min(Limit, Slots - 1) : Limit;
}

auto SlotLedger::freeSlotsOf(const Worker &Entry) const -> std::uint32_t {
  if (!Entry.StatusReceived || Entry.Leaving || Entry.LeavingInHostList)
    return 0;
  std::uint32_t Used = Entry.GrantedSlots + Entry.Unattributed;
  return Used >= Entry.Slots ? 0 : Entry.Slots - Used;
}

auto SlotLedger::freeLongSlotsOf(const Worker &Entry) const -> std::uint32_t {
  // The class of unattributed work is unknown, so it counts as long.
  std::uint32_t Used = Entry.LongSlots + Entry.Unattributed;
  std::uint32_t Limit = longSlotLimit(Entry.Slots);
  return std::min(freeSlotsOf(Entry), Used >= Limit ? 0 : Limit - Used);
}

auto SlotLedger::addWorker(std::string_view Name, std::string_view Address)
    -> void {
  Workers[std::string(Name)].Address = Address;
}

auto SlotLedger::removeWorker(std::string_view Name) -> void {
  auto Position = Workers.find(Name);
  if (Position == Workers.end())
    return;
  Workers.erase(Position);
  std::erase_if(Grants,
                [&](const auto &Item) { return Item.second.Worker == Name; });
}

auto SlotLedger::setEpoch(std::uint64_t NewEpoch) -> void {
  Epoch = std::max(Epoch, NewEpoch);
}

auto SlotLedger::countSettledGrants(std::string_view Name, TimePoint At) const
    -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::count_if(Grants.begin(), Grants.end(), [&](const auto &Item) {
        return Item.second.Worker == Name &&
               Item.second.GrantedAt + Policy.GrantSettleTime <= At;
      }));
}

auto SlotLedger::applyStatus(const SlotStatus &Status, TimePoint Now) -> bool {
  auto Position = Workers.find(Status.Worker);
  if (Position == Workers.end())
    return false;
  Worker &Entry = Position->second;
  if (Entry.StatusReceived && Status.RequestedAt <= Entry.LastStatus)
    return false;
  Entry.Slots = std::min(Status.Slots, Policy.Connections - 1);
  Entry.Leaving = Status.Leaving;
  Entry.LastStatus = Status.RequestedAt;
  // Lowers the latency of an idle worker with each status, so that a worker
  // that was slow is eventually chosen and measured again.
  if (!std::exchange(Entry.MeasuredSinceStatus, false) &&
      Entry.GrantedSlots == 0)
    Entry.LatencyMs =
        Entry.LatencyMs > 0 ? std::max(1.0, Entry.LatencyMs / 2) : 0;
  if (!Entry.StatusReceived) {
    Entry.StatusReceived = true;
    Entry.Unattributed = Status.SlotsUsed;
    Entry.UnattributedSince = Now;
    return true;
  }
  // Subtracts only settled grants: subtracting a grant that the status does not
  // show yet would make an unattributed slot look free.
  if (Status.RequestedAt >= Entry.UnattributedSince) {
    std::uint32_t Settled =
        countSettledGrants(Status.Worker, Status.RequestedAt);
    std::uint32_t Visible =
        Status.SlotsUsed > Settled ? Status.SlotsUsed - Settled : 0;
    Entry.Unattributed = std::min(Entry.Unattributed, Visible);
  }
  return true;
}

auto SlotLedger::markLeaving(std::string_view Name) -> void {
  auto Position = Workers.find(Name);
  if (Position != Workers.end())
    Position->second.Leaving = true;
}

auto SlotLedger::setLeavingInHostList(std::string_view Name, bool Leaving)
    -> void {
  auto Position = Workers.find(Name);
  if (Position != Workers.end())
    Position->second.LeavingInHostList = Leaving;
}

auto SlotLedger::chooseWorker(const std::vector<WorkerMap::iterator> &Usable,
                              const std::vector<double> &Shares)
    -> WorkerMap::iterator {
  if (Usable.size() == 1)
    return Usable.front();
  std::size_t First = Random() % Usable.size();
  std::size_t Second = Random() % (Usable.size() - 1);
  if (Second >= First)
    ++Second;
  std::uniform_real_distribution<double> Chance(0.0, 1.0);
  for (std::size_t Index : {First, Second})
    if (Shares[Index] < 1.0 && Chance(Random) < ReducedShareProbability)
      return Usable[Index];
  bool BothLatenciesKnown = Usable[First]->second.LatencyMs > 0 &&
                            Usable[Second]->second.LatencyMs > 0;
  auto Cost = [&](std::size_t Index) {
    const Worker &Entry = Usable[Index]->second;
    double Load = (Entry.GrantedSlots + Entry.Unattributed + 1) /
                  std::max(1.0, std::ceil(Shares[Index] * Entry.Slots));
    return BothLatenciesKnown ? Load * Entry.LatencyMs : Load;
  };
  return Cost(First) <= Cost(Second) ? Usable[First] : Usable[Second];
}

auto SlotLedger::grant(const SlotGrantRequest &Request,
                       const TrafficShareFunction &Share,
                       std::string_view Excluded, TimePoint Now)
    -> SlotDecision {
  if (auto Existing = findGrant(Request.GrantId))
    return *Existing;
  std::vector<WorkerMap::iterator> Usable;
  std::vector<double> Shares;
  bool FoundUsableWorker = false;
  bool FoundFreeSlot = false;
  for (auto Position = Workers.begin(); Position != Workers.end(); ++Position) {
    const Worker &Entry = Position->second;
    if (!Entry.StatusReceived || Entry.Leaving || Entry.LeavingInHostList ||
        Position->first == Excluded)
      continue;
    double Allowed = std::min(1.0, Share ? Share(Position->first) : 1.0);
    if (!(Allowed > 0))
      continue;
    FoundUsableWorker = true;
    // A worker with a reduced share may use only that share of its slots.
    auto Limit = static_cast<std::uint32_t>(std::ceil(Allowed * Entry.Slots));
    if (freeSlotsOf(Entry) == 0 ||
        Entry.GrantedSlots + Entry.Unattributed >= Limit)
      continue;
    FoundFreeSlot = true;
    if (Request.Class == WorkClass::Long && freeLongSlotsOf(Entry) == 0)
      continue;
    Usable.push_back(Position);
    Shares.push_back(Allowed);
  }
  if (!FoundUsableWorker)
    return SlotNoUsableWorker{};
  if (!FoundFreeSlot)
    return SlotsAllInUse{};
  if (Usable.empty())
    return SlotLongLimitReached{};
  auto Chosen = chooseWorker(Usable, Shares);
  ++Chosen->second.GrantedSlots;
  if (Request.Class == WorkClass::Long)
    ++Chosen->second.LongSlots;
  SlotGrant Grant{Request.GrantId,        Chosen->first,
                  Chosen->second.Address, Epoch,
                  Request.HolderHost,     Request.HolderIncarnation,
                  Request.Class,          Now};
  Grants.emplace(Request.GrantId, Grant);
  return Grant;
}

auto SlotLedger::release(std::string_view GrantId,
                         std::optional<Milliseconds> Latency)
    -> std::optional<SlotGrant> {
  auto Position = Grants.find(GrantId);
  if (Position == Grants.end())
    return std::nullopt;
  SlotGrant EndedGrant = std::move(Position->second);
  Grants.erase(Position);
  auto GrantedWorker = Workers.find(EndedGrant.Worker);
  if (GrantedWorker == Workers.end())
    return EndedGrant;
  Worker &Entry = GrantedWorker->second;
  --Entry.GrantedSlots;
  if (EndedGrant.Class == WorkClass::Long)
    --Entry.LongSlots;
  if (Latency) {
    auto SampleMs = std::max(1.0, static_cast<double>(Latency->count()));
    if (Entry.LatencyMs > 0)
      SampleMs = std::min(SampleMs, MaximumLatencyRatio * Entry.LatencyMs);
    Entry.MeasuredSinceStatus = true;
    Entry.LatencyMs =
        Entry.LatencyMs > 0
            ? Entry.LatencyMs + LatencyWeight * (SampleMs - Entry.LatencyMs)
            : SampleMs;
  }
  return EndedGrant;
}

auto SlotLedger::releaseGrantsOfLostHolders(
    const std::set<std::string> &LiveIncarnations, TimePoint Now)
    -> std::vector<SlotGrant> {
  std::vector<SlotGrant> EndedGrants;
  for (const auto &[Id, Grant] : Grants)
    if (LiveIncarnations.count(Grant.HolderIncarnation) == 0)
      EndedGrants.push_back(Grant);
  for (const SlotGrant &Grant : EndedGrants) {
    release(Grant.GrantId, std::nullopt);
    auto GrantedWorker = Workers.find(Grant.Worker);
    if (GrantedWorker == Workers.end())
      continue;
    ++GrantedWorker->second.Unattributed;
    // The request may have been sent just before its holder was lost. It then
    // shows in the worker's status only after the settle time.
    GrantedWorker->second.UnattributedSince =
        std::max({GrantedWorker->second.UnattributedSince, Now,
                  Grant.GrantedAt + Policy.GrantSettleTime});
  }
  return EndedGrants;
}

auto SlotLedger::reclassifyOverdueGrants(TimePoint Now)
    -> std::vector<SlotGrant> {
  std::vector<SlotGrant> Changed;
  for (auto &[Id, Grant] : Grants) {
    if (Grant.Class == WorkClass::Long ||
        Now - Grant.GrantedAt <= Policy.ShortLimit)
      continue;
    Grant.Class = WorkClass::Long;
    auto GrantedWorker = Workers.find(Grant.Worker);
    if (GrantedWorker != Workers.end())
      ++GrantedWorker->second.LongSlots;
    Changed.push_back(Grant);
  }
  return Changed;
}

auto SlotLedger::freeSlots() const -> std::uint32_t {
  std::uint32_t Sum = 0;
  for (const auto &[Name, Entry] : Workers)
    Sum += freeSlotsOf(Entry);
  return Sum;
}

auto SlotLedger::freeLongSlots() const -> std::uint32_t {
  std::uint32_t Sum = 0;
  for (const auto &[Name, Entry] : Workers)
    Sum += freeLongSlotsOf(Entry);
  return Sum;
}

auto SlotLedger::freeSlots(std::string_view Name) const -> std::uint32_t {
  auto Position = Workers.find(Name);
  return Position == Workers.end() ? 0 : freeSlotsOf(Position->second);
}

auto SlotLedger::unattributedSlots(std::string_view Name) const
    -> std::uint32_t {
  auto Position = Workers.find(Name);
  return Position == Workers.end() ? 0 : Position->second.Unattributed;
}

auto SlotLedger::usedSlots(std::string_view Name) const -> std::uint32_t {
  auto Position = Workers.find(Name);
  return Position == Workers.end()
             ? 0
             : Position->second.GrantedSlots + Position->second.Unattributed;
}

auto SlotLedger::workers() const -> std::vector<std::string> {
  std::vector<std::string> Names;
  for (const auto &[Name, Entry] : Workers)
    Names.push_back(Name);
  return Names;
}

auto SlotLedger::findGrant(std::string_view GrantId) const
    -> std::optional<SlotGrant> {
  auto Position = Grants.find(GrantId);
  if (Position == Grants.end())
    return std::nullopt;
  return Position->second;
}

} // namespace jayramp
