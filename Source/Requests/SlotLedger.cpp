#include "Requests/SlotLedger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jayramp {

namespace {

constexpr double LatencyWeight = 0.2; ///< Of the newest answer.
// Most that one answer counts, times the latency so far: a long request that
// was declared short says nothing about the worker.
constexpr double LargestStep = 5.0;

// Share of comparisons that a worker on trial wins regardless of its load. At
// low load an idle healthy worker would otherwise always be preferred.
constexpr double TrialPreference = 0.2;

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
    return Error::make(ErrorKind::InvalidArgument, "ShortLimit",
                       "every request would count as long",
                       "set a limit above 0 ms");
  if (Policy.Connections < 2)
    return Error::make(ErrorKind::InvalidArgument, "Connections",
                       "no connection is left for requests", "set at least 2");
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

auto SlotLedger::freeOf(const Worker &Entry) const -> std::uint32_t {
  if (!Entry.Known || Entry.Leaving || Entry.ListedLeaving)
    return 0;
  std::uint32_t Used = Entry.Granted + Entry.Foreign;
  return Used >= Entry.Slots ? 0 : Entry.Slots - Used;
}

auto SlotLedger::freeLongOf(const Worker &Entry) const -> std::uint32_t {
  // The class of foreign work is not known; it counts as long.
  std::uint32_t Used = Entry.Long + Entry.Foreign;
  std::uint32_t Limit = longSlotLimit(Entry.Slots);
  return std::min(freeOf(Entry), Used >= Limit ? 0 : Limit - Used);
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

auto SlotLedger::settledGrants(std::string_view Name, TimePoint At) const
    -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::count_if(Grants.begin(), Grants.end(), [&](const auto &Item) {
        return Item.second.Worker == Name &&
               Item.second.GrantedAt + Policy.SettleTime <= At;
      }));
}

auto SlotLedger::applyStatus(const SlotStatus &Status, TimePoint Now) -> bool {
  auto Position = Workers.find(Status.Worker);
  if (Position == Workers.end())
    return false;
  Worker &Entry = Position->second;
  if (Entry.Known && Status.RequestedAt <= Entry.LastStatus)
    return false;
  Entry.Slots = std::min(Status.Slots, Policy.Connections - 1);
  Entry.Leaving = Status.Leaving;
  Entry.LastStatus = Status.RequestedAt;
  // An idle worker is measured anew from time to time. Its last latency would
  // otherwise keep a worker that was slow from ever being chosen again.
  if (!std::exchange(Entry.Measured, false) && Entry.Granted == 0)
    Entry.LatencyMs =
        Entry.LatencyMs > 0 ? std::max(1.0, Entry.LatencyMs / 2) : 0;
  if (!Entry.Known) {
    Entry.Known = true;
    Entry.Foreign = Status.SlotsUsed;
    Entry.ForeignSince = Now;
    return true;
  }
  // Grants that are not yet visible in the status would make foreign slots
  // look free, so only settled grants are subtracted.
  if (Status.RequestedAt >= Entry.ForeignSince) {
    std::uint32_t Settled = settledGrants(Status.Worker, Status.RequestedAt);
    std::uint32_t Visible =
        Status.SlotsUsed > Settled ? Status.SlotsUsed - Settled : 0;
    Entry.Foreign = std::min(Entry.Foreign, Visible);
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
    Position->second.ListedLeaving = Leaving;
}

auto SlotLedger::choose(const std::vector<WorkerMap::iterator> &Usable,
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
    if (Shares[Index] < 1.0 && Chance(Random) < TrialPreference)
      return Usable[Index];
  bool Compare = Usable[First]->second.LatencyMs > 0 &&
                 Usable[Second]->second.LatencyMs > 0;
  auto Cost = [&](std::size_t Index) {
    const Worker &Entry = Usable[Index]->second;
    double Load = (Entry.Granted + Entry.Foreign + 1) /
                  std::max(1.0, std::ceil(Shares[Index] * Entry.Slots));
    return Compare ? Load * Entry.LatencyMs : Load;
  };
  return Cost(First) <= Cost(Second) ? Usable[First] : Usable[Second];
}

auto SlotLedger::grant(const SlotGrantRequest &Ask,
                       const TrafficShareFunction &Share,
                       std::string_view Excluded, TimePoint Now)
    -> SlotDecision {
  if (auto Known = findGrant(Ask.GrantId))
    return *Known;
  std::vector<WorkerMap::iterator> Usable;
  std::vector<double> Shares;
  bool AnyWorker = false;
  bool AnySlot = false;
  for (auto Position = Workers.begin(); Position != Workers.end(); ++Position) {
    const Worker &Entry = Position->second;
    if (!Entry.Known || Entry.Leaving || Entry.ListedLeaving ||
        Position->first == Excluded)
      continue;
    double Allowed = std::min(1.0, Share ? Share(Position->first) : 1.0);
    if (!(Allowed > 0))
      continue;
    AnyWorker = true;
    // A worker on trial takes only as many requests as its share of slots.
    auto Limit = static_cast<std::uint32_t>(std::ceil(Allowed * Entry.Slots));
    if (freeOf(Entry) == 0 || Entry.Granted + Entry.Foreign >= Limit)
      continue;
    AnySlot = true;
    if (Ask.Class == WorkClass::Long && freeLongOf(Entry) == 0)
      continue;
    Usable.push_back(Position);
    Shares.push_back(Allowed);
  }
  if (!AnyWorker)
    return SlotNoUsableWorker{};
  if (!AnySlot)
    return SlotsAllInUse{};
  if (Usable.empty())
    return SlotLongLimitReached{};
  auto Chosen = choose(Usable, Shares);
  ++Chosen->second.Granted;
  if (Ask.Class == WorkClass::Long)
    ++Chosen->second.Long;
  SlotGrant Grant{Ask.GrantId,
                  Chosen->first,
                  Chosen->second.Address,
                  Epoch,
                  Ask.HolderHost,
                  Ask.HolderIncarnation,
                  Ask.Class,
                  Now};
  Grants.emplace(Ask.GrantId, Grant);
  return Grant;
}

auto SlotLedger::release(std::string_view GrantId,
                         std::optional<Milliseconds> Latency)
    -> std::optional<SlotGrant> {
  auto Position = Grants.find(GrantId);
  if (Position == Grants.end())
    return std::nullopt;
  SlotGrant Ended = std::move(Position->second);
  Grants.erase(Position);
  auto Owner = Workers.find(Ended.Worker);
  if (Owner == Workers.end())
    return Ended;
  Worker &Entry = Owner->second;
  --Entry.Granted;
  if (Ended.Class == WorkClass::Long)
    --Entry.Long;
  if (Latency) {
    auto Measured = std::max(1.0, static_cast<double>(Latency->count()));
    if (Entry.LatencyMs > 0)
      Measured = std::min(Measured, LargestStep * Entry.LatencyMs);
    Entry.Measured = true;
    Entry.LatencyMs =
        Entry.LatencyMs > 0
            ? Entry.LatencyMs + LatencyWeight * (Measured - Entry.LatencyMs)
            : Measured;
  }
  return Ended;
}

auto SlotLedger::releaseGrantsOfLostHolders(const std::set<std::string> &Live,
                                            TimePoint Now)
    -> std::vector<SlotGrant> {
  std::vector<SlotGrant> Ended;
  for (const auto &[Id, Grant] : Grants)
    if (Live.count(Grant.HolderIncarnation) == 0)
      Ended.push_back(Grant);
  for (const SlotGrant &Grant : Ended) {
    release(Grant.GrantId, std::nullopt);
    auto Owner = Workers.find(Grant.Worker);
    if (Owner == Workers.end())
      continue;
    ++Owner->second.Foreign;
    // The request may have been sent just before its holder died, and then
    // shows in the worker's status only after the settle time.
    Owner->second.ForeignSince = std::max(
        {Owner->second.ForeignSince, Now, Grant.GrantedAt + Policy.SettleTime});
  }
  return Ended;
}

auto SlotLedger::reclassifyOverdueGrants(TimePoint Now)
    -> std::vector<SlotGrant> {
  std::vector<SlotGrant> Changed;
  for (auto &[Id, Grant] : Grants) {
    if (Grant.Class == WorkClass::Long ||
        Now - Grant.GrantedAt <= Policy.ShortLimit)
      continue;
    Grant.Class = WorkClass::Long;
    auto Owner = Workers.find(Grant.Worker);
    if (Owner != Workers.end())
      ++Owner->second.Long;
    Changed.push_back(Grant);
  }
  return Changed;
}

auto SlotLedger::freeSlots() const -> std::uint32_t {
  std::uint32_t Sum = 0;
  for (const auto &[Name, Entry] : Workers)
    Sum += freeOf(Entry);
  return Sum;
}

auto SlotLedger::freeLongSlots() const -> std::uint32_t {
  std::uint32_t Sum = 0;
  for (const auto &[Name, Entry] : Workers)
    Sum += freeLongOf(Entry);
  return Sum;
}

auto SlotLedger::freeSlots(std::string_view Name) const -> std::uint32_t {
  auto Position = Workers.find(Name);
  return Position == Workers.end() ? 0 : freeOf(Position->second);
}

auto SlotLedger::unattributedSlots(std::string_view Name) const
    -> std::uint32_t {
  auto Position = Workers.find(Name);
  return Position == Workers.end() ? 0 : Position->second.Foreign;
}

auto SlotLedger::usedSlots(std::string_view Name) const -> std::uint32_t {
  auto Position = Workers.find(Name);
  return Position == Workers.end()
             ? 0
             : Position->second.Granted + Position->second.Foreign;
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
