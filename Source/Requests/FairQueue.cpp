#include "Requests/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace jayramp {

namespace {

// Shorter memory makes the estimate follow single long requests; longer memory
// keeps refusing for too long after a worker loss was repaired.
constexpr double RateMemorySeconds = 5.0;
// Fewer observations say too little to refuse a request by them.
constexpr double MinimumPops = 5.0;
constexpr Milliseconds MinimumRetryAfter{100};
constexpr Milliseconds MaximumWait{3'600'000};

auto indexOfClass(WorkClass Class) -> std::size_t {
  return Class == WorkClass::Short ? 0 : 1;
}

auto secondsBetween(TimePoint From, TimePoint To) -> double {
  return std::chrono::duration<double>(To - From).count();
}

} // namespace

FairQueue::FairQueue(FairQueueLimits Limits) : Limits(Limits) {}

auto FairQueue::make(FairQueueLimits Limits) -> Result<FairQueue> {
  if (Limits.MaxEntries == 0 || Limits.MaxEntriesPerAccount == 0)
    return Error::make(ErrorKind::InvalidArgument, "MaxEntries",
                       "a queue without entries refuses every request",
                       "set both limits to at least 1");
  if (!(Limits.DefaultShare > 0))
    return Error::make(ErrorKind::InvalidArgument, "DefaultShare",
                       "accounts without a share would never be served",
                       "set a share above 0");
  return FairQueue(Limits);
}

auto FairQueue::indexOf(std::string_view Name) -> std::size_t {
  auto Position = AccountIndex.find(Name);
  if (Position != AccountIndex.end())
    return Position->second;
  std::size_t Index = Accounts.size();
  Accounts.emplace_back();
  Accounts.back().Name = Name;
  Accounts.back().Share = Limits.DefaultShare;
  AccountIndex.emplace(Name, Index);
  return Index;
}

auto FairQueue::setShare(std::string_view Account, double Share) -> bool {
  if (!(Share > 0) || !std::isfinite(Share))
    return false;
  AccountState &Target = Accounts[indexOf(Account)];
  for (std::size_t Class = 0; Class < Classes.size(); ++Class)
    if (!Target.Lines[Class].empty())
      Classes[Class].ActiveShare += Share - Target.Share;
  Target.Share = Share;
  return true;
}

auto FairQueue::setAccountLimit(std::size_t Limit) -> bool {
  if (Limit == 0)
    return false;
  Limits.MaxEntriesPerAccount = Limit;
  return true;
}

auto FairQueue::setVirtualTime(std::size_t Index, std::size_t Class,
                               double Value) -> void {
  AccountState &Target = Accounts[Index];
  bool Active = !Target.Lines[Class].empty();
  if (Active)
    Classes[Class].Ready.erase({Target.VirtualTime[Class], Index});
  Target.VirtualTime[Class] = Value;
  if (Active)
    Classes[Class].Ready.emplace(Value, Index);
}

auto FairQueue::measure(std::size_t Class, TimePoint Now) -> void {
  ClassState &State = Classes[Class];
  if (State.Count > 0 && Now > State.MeasuredAt) {
    double Elapsed = secondsBetween(State.MeasuredAt, Now);
    double Kept = std::exp(-Elapsed / RateMemorySeconds);
    State.Pops *= Kept;
    State.BusySeconds =
        State.BusySeconds * Kept + RateMemorySeconds * (1.0 - Kept);
  }
  State.MeasuredAt = std::max(State.MeasuredAt, Now);
}

auto FairQueue::insert(const QueueEntry &Entry, std::int64_t Order,
                       TimePoint Since) -> void {
  std::size_t Index = indexOf(Entry.Account);
  std::size_t Class = indexOfClass(Entry.Class);
  AccountState &Target = Accounts[Index];
  ClassState &State = Classes[Class];
  if (Target.Lines[Class].empty()) {
    // An account that was idle starts level with the others; its idle time is
    // not saved up.
    Target.VirtualTime[Class] =
        std::max(Target.VirtualTime[Class], State.VirtualNow);
    State.Ready.emplace(Target.VirtualTime[Class], Index);
    State.ActiveShare += Target.Share;
  }
  Target.Lines[Class].emplace(Order, Entry.Id);
  ++State.Count;
  Deadlines.emplace(Entry.Deadline, Entry.Id);
  Entries.emplace(Entry.Id, Waiting{Entry, Index, Order, Since});
}

auto FairQueue::remove(std::uint64_t Id) -> std::optional<Waiting> {
  auto Position = Entries.find(Id);
  if (Position == Entries.end())
    return std::nullopt;
  Waiting Removed = std::move(Position->second);
  Entries.erase(Position);
  Deadlines.erase({Removed.Entry.Deadline, Id});
  std::size_t Class = indexOfClass(Removed.Entry.Class);
  AccountState &Owner = Accounts[Removed.Account];
  ClassState &State = Classes[Class];
  Owner.Lines[Class].erase(Removed.Order);
  --State.Count;
  if (Owner.Lines[Class].empty()) {
    State.Ready.erase({Owner.VirtualTime[Class], Removed.Account});
    State.ActiveShare -= Owner.Share;
    // Repeated additions and subtractions leave a rounding error.
    if (State.Count == 0)
      State.ActiveShare = 0.0;
  }
  return Removed;
}

auto FairQueue::push(const QueueEntry &Entry, TimePoint Now) -> PushDecision {
  if (!(Entry.Cost > 0) || !std::isfinite(Entry.Cost) ||
      Entries.count(Entry.Id) != 0)
    return PushInvalidEntry{};
  collectExpired(Now);
  measure(indexOfClass(Entry.Class), Now);
  Milliseconds Wait = estimatedWait(Entry.Account, Entry.Class, Now);
  if (Entries.size() >= Limits.MaxEntries)
    return PushQueueFull{std::max(Wait, MinimumRetryAfter)};
  if (accountSize(Entry.Account) >= Limits.MaxEntriesPerAccount)
    return PushAccountLimitReached{std::max(Wait, MinimumRetryAfter)};
  if (Entry.Deadline <= Now || Wait > Entry.Deadline - Now)
    return PushDeadlineTooShort{Wait};
  insert(Entry, NextOrder++, Now);
  return PushQueued{Wait};
}

auto FairQueue::popClass(std::size_t Class, TimePoint Now)
    -> std::optional<QueueEntry> {
  ClassState &State = Classes[Class];
  if (State.Ready.empty())
    return std::nullopt;
  measure(Class, Now);
  auto [Start, Index] = *State.Ready.begin();
  std::uint64_t Id = Accounts[Index].Lines[Class].begin()->second;
  State.VirtualNow = std::max(State.VirtualNow, Start);
  std::optional<Waiting> Removed = remove(Id);
  setVirtualTime(Index, Class,
                 Start + Removed->Entry.Cost / Accounts[Index].Share);
  // A request that did not wait says nothing about the capacity.
  State.CountedPop.reset();
  if (Removed->Since < Now) {
    State.Pops += 1.0;
    State.CountedPop = Id;
  }
  return std::move(Removed->Entry);
}

auto FairQueue::pop(bool LongAllowed, TimePoint Now)
    -> std::optional<QueueEntry> {
  collectExpired(Now);
  if (auto Entry = popClass(0, Now))
    return Entry;
  return LongAllowed ? popClass(1, Now) : std::nullopt;
}

auto FairQueue::pushFront(const QueueEntry &Entry) -> bool {
  if (Entries.count(Entry.Id) != 0)
    return false;
  std::size_t Class = indexOfClass(Entry.Class);
  std::size_t Index = indexOf(Entry.Account);
  ClassState &State = Classes[Class];
  insert(Entry, FrontOrder--, TimePoint::min());
  setVirtualTime(Index, Class,
                 Accounts[Index].VirtualTime[Class] -
                     Entry.Cost / Accounts[Index].Share);
  if (State.CountedPop == Entry.Id) {
    State.Pops = std::max(0.0, State.Pops - 1.0);
    State.CountedPop.reset();
  }
  return true;
}

auto FairQueue::cancel(std::uint64_t Id) -> std::optional<QueueEntry> {
  std::optional<Waiting> Removed = remove(Id);
  if (!Removed)
    return std::nullopt;
  return std::move(Removed->Entry);
}

auto FairQueue::reclassify(std::uint64_t Id, WorkClass Class) -> bool {
  std::optional<Waiting> Removed = remove(Id);
  if (!Removed)
    return false;
  Removed->Entry.Class = Class;
  insert(Removed->Entry, Removed->Order, Removed->Since);
  return true;
}

auto FairQueue::collectExpired(TimePoint Now) -> void {
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    std::uint64_t Id = Deadlines.begin()->second;
    measure(indexOfClass(Entries.at(Id).Entry.Class), Now);
    Expired.push_back(remove(Id)->Entry);
  }
}

auto FairQueue::takeExpired(TimePoint Now) -> std::vector<QueueEntry> {
  collectExpired(Now);
  std::vector<QueueEntry> Result;
  Result.swap(Expired);
  return Result;
}

auto FairQueue::charge(std::string_view Account, double Cost, WorkClass Class)
    -> void {
  std::size_t Index = indexOf(Account);
  std::size_t Number = indexOfClass(Class);
  setVirtualTime(Index, Number,
                 Accounts[Index].VirtualTime[Number] +
                     Cost / Accounts[Index].Share);
}

auto FairQueue::estimatedWait(std::string_view Account, WorkClass Class,
                              TimePoint Now) const -> Milliseconds {
  std::size_t Number = indexOfClass(Class);
  const ClassState &State = Classes[Number];
  // An empty queue admits, so that a recovered capacity is noticed.
  if (State.Count == 0)
    return Milliseconds(0);
  double Elapsed = std::max(0.0, secondsBetween(State.MeasuredAt, Now));
  double Kept = std::exp(-Elapsed / RateMemorySeconds);
  double Busy = State.BusySeconds * Kept + RateMemorySeconds * (1.0 - Kept);
  double Pops = State.Pops * Kept;
  // Without pops for the whole memory the capacity is gone, which is an
  // observation too.
  bool Stalled = Busy > RateMemorySeconds / 2;
  if ((Pops < MinimumPops && !Stalled) || Busy <= 0)
    return Milliseconds(0);
  double Share = Limits.DefaultShare;
  std::size_t Ahead = 0;
  auto Position = AccountIndex.find(Account);
  if (Position != AccountIndex.end()) {
    Share = Accounts[Position->second].Share;
    Ahead = Accounts[Position->second].Lines[Number].size();
  }
  double Total = State.ActiveShare + (Ahead == 0 ? Share : 0.0);
  double Rate = Pops / Busy * Share / Total;
  double Seconds = static_cast<double>(Ahead + 1) / std::max(Rate, 1e-9);
  auto Limit = static_cast<double>(MaximumWait.count());
  return Milliseconds(
      static_cast<Milliseconds::rep>(std::min(Seconds * 1000.0, Limit)));
}

auto FairQueue::nextDeadline() const -> std::optional<TimePoint> {
  if (Deadlines.empty())
    return std::nullopt;
  return Deadlines.begin()->first;
}

auto FairQueue::size() const -> std::size_t { return Entries.size(); }

auto FairQueue::size(WorkClass Class) const -> std::size_t {
  return Classes[indexOfClass(Class)].Count;
}

auto FairQueue::accountSize(std::string_view Account) const -> std::size_t {
  auto Position = AccountIndex.find(Account);
  if (Position == AccountIndex.end())
    return 0;
  const AccountState &Found = Accounts[Position->second];
  return Found.Lines[0].size() + Found.Lines[1].size();
}

} // namespace jayramp
