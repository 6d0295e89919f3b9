#include "Requests/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace jayramp {

namespace {

// Time constant of the decaying service rate. With a shorter one the estimate
// follows single long requests; with a longer one requests are refused for too
// long after a lost worker has been replaced.
constexpr double RateTimeConstantSeconds = 5.0;
// With fewer pops the rate is too uncertain to refuse a request.
constexpr double MinimumPopsForRate = 5.0;
constexpr Milliseconds MinimumRetryAfter{100};
constexpr Milliseconds MaximumEstimatedWait{3'600'000};

/// Returns the index of a class in the arrays by class.
auto classIndex(WorkClass Class) -> std::size_t {
  return Class == WorkClass::Short ? 0 : 1;
}

auto secondsBetween(TimePoint From, TimePoint To) -> double {
  return std::chrono::duration<double>(To - From).count();
}

} // namespace

FairQueue::FairQueue(FairQueueLimits Limits) : Limits(Limits) {}

auto FairQueue::make(FairQueueLimits Limits) -> Result<FairQueue> {
  if (Limits.MaxEntries == 0 || Limits.MaxEntriesPerAccount == 0)
    return Error::make(
        ErrorKind::InvalidArgument, "MaxEntries",
        "a queue with a limit of 0 entries refuses every request",
        "set MaxEntries and MaxEntriesPerAccount to at least 1");
  if (!(Limits.DefaultShare > 0))
    return Error::make(
        ErrorKind::InvalidArgument, "DefaultShare",
        "accounts with a share of 0 or less would never be served",
        "set a share above 0");
  return FairQueue(Limits);
}

auto FairQueue::findOrAddAccount(std::string_view Name) -> std::size_t {
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
  AccountState &Target = Accounts[findOrAddAccount(Account)];
  for (std::size_t Class = 0; Class < Classes.size(); ++Class)
    if (!Target.WaitingEntries[Class].empty())
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
  bool Active = !Target.WaitingEntries[Class].empty();
  if (Active)
    Classes[Class].ActiveAccounts.erase({Target.VirtualTime[Class], Index});
  Target.VirtualTime[Class] = Value;
  if (Active)
    Classes[Class].ActiveAccounts.emplace(Value, Index);
}

auto FairQueue::updateRate(std::size_t Class, TimePoint Now) -> void {
  ClassState &State = Classes[Class];
  if (State.Count > 0 && Now > State.RateUpdatedAt) {
    double Elapsed = secondsBetween(State.RateUpdatedAt, Now);
    double Decay = std::exp(-Elapsed / RateTimeConstantSeconds);
    State.Pops *= Decay;
    State.BacklogSeconds =
        State.BacklogSeconds * Decay + RateTimeConstantSeconds * (1.0 - Decay);
  }
  State.RateUpdatedAt = std::max(State.RateUpdatedAt, Now);
}

auto FairQueue::insert(const QueueEntry &Entry, std::int64_t Order,
                       TimePoint QueuedAt) -> void {
  std::size_t Index = findOrAddAccount(Entry.Account);
  std::size_t Class = classIndex(Entry.Class);
  AccountState &Target = Accounts[Index];
  ClassState &State = Classes[Class];
  if (Target.WaitingEntries[Class].empty()) {
    // An account that was idle starts at the system's virtual time, so that it
    // gets no credit for the idle time.
    Target.VirtualTime[Class] =
        std::max(Target.VirtualTime[Class], State.SystemVirtualTime);
    State.ActiveAccounts.emplace(Target.VirtualTime[Class], Index);
    State.ActiveShare += Target.Share;
  }
  Target.WaitingEntries[Class].emplace(Order, Entry.Id);
  ++State.Count;
  Deadlines.emplace(Entry.Deadline, Entry.Id);
  Entries.emplace(Entry.Id, WaitingEntry{Entry, Index, Order, QueuedAt});
}

auto FairQueue::remove(std::uint64_t Id) -> std::optional<WaitingEntry> {
  auto Position = Entries.find(Id);
  if (Position == Entries.end())
    return std::nullopt;
  WaitingEntry Removed = std::move(Position->second);
  Entries.erase(Position);
  Deadlines.erase({Removed.Entry.Deadline, Id});
  std::size_t Class = classIndex(Removed.Entry.Class);
  AccountState &Owner = Accounts[Removed.Account];
  ClassState &State = Classes[Class];
  Owner.WaitingEntries[Class].erase(Removed.Order);
  --State.Count;
  if (Owner.WaitingEntries[Class].empty()) {
    State.ActiveAccounts.erase({Owner.VirtualTime[Class], Removed.Account});
    State.ActiveShare -= Owner.Share;
    // Removes the rounding error of repeated additions and subtractions.
    if (State.Count == 0)
      State.ActiveShare = 0.0;
  }
  return Removed;
}

auto FairQueue::push(const QueueEntry &Entry, TimePoint Now) -> PushDecision {
  if (!(Entry.Cost > 0) || !std::isfinite(Entry.Cost) ||
      Entries.count(Entry.Id) != 0)
    return PushInvalidEntry{};
  moveExpired(Now);
  updateRate(classIndex(Entry.Class), Now);
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
  if (State.ActiveAccounts.empty())
    return std::nullopt;
  updateRate(Class, Now);
  auto [StartVirtualTime, Index] = *State.ActiveAccounts.begin();
  std::uint64_t Id = Accounts[Index].WaitingEntries[Class].begin()->second;
  State.SystemVirtualTime = std::max(State.SystemVirtualTime, StartVirtualTime);
  std::optional<WaitingEntry> Removed = remove(Id);
  setVirtualTime(Index, Class,
                 StartVirtualTime +
                     Removed->Entry.Cost / Accounts[Index].Share);
  // Only requests that had to wait are counted: the rate at which they leave
  // the queue shows the capacity of the workers.
  State.LastCountedPop.reset();
  if (Removed->QueuedAt < Now) {
    State.Pops += 1.0;
    State.LastCountedPop = Id;
  }
  return std::move(Removed->Entry);
}

auto FairQueue::pop(bool LongAllowed, TimePoint Now)
    -> std::optional<QueueEntry> {
  moveExpired(Now);
  if (auto Entry = popClass(0, Now))
    return Entry;
  return LongAllowed ? popClass(1, Now) : std::nullopt;
}

auto FairQueue::pushFront(const QueueEntry &Entry) -> bool {
  if (Entries.count(Entry.Id) != 0)
    return false;
  std::size_t Class = classIndex(Entry.Class);
  std::size_t Index = findOrAddAccount(Entry.Account);
  ClassState &State = Classes[Class];
  insert(Entry, NextFrontOrder--, TimePoint::min());
  setVirtualTime(Index, Class,
                 Accounts[Index].VirtualTime[Class] -
                     Entry.Cost / Accounts[Index].Share);
  if (State.LastCountedPop == Entry.Id) {
    State.Pops = std::max(0.0, State.Pops - 1.0);
    State.LastCountedPop.reset();
  }
  return true;
}

auto FairQueue::cancel(std::uint64_t Id) -> std::optional<QueueEntry> {
  std::optional<WaitingEntry> Removed = remove(Id);
  if (!Removed)
    return std::nullopt;
  return std::move(Removed->Entry);
}

auto FairQueue::reclassify(std::uint64_t Id, WorkClass Class) -> bool {
  std::optional<WaitingEntry> Removed = remove(Id);
  if (!Removed)
    return false;
  Removed->Entry.Class = Class;
  insert(Removed->Entry, Removed->Order, Removed->QueuedAt);
  return true;
}

auto FairQueue::moveExpired(TimePoint Now) -> void {
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    std::uint64_t Id = Deadlines.begin()->second;
    updateRate(classIndex(Entries.at(Id).Entry.Class), Now);
    Expired.push_back(remove(Id)->Entry);
  }
}

auto FairQueue::takeExpired(TimePoint Now) -> std::vector<QueueEntry> {
  moveExpired(Now);
  std::vector<QueueEntry> Result;
  Result.swap(Expired);
  return Result;
}

auto FairQueue::charge(std::string_view Account, double Cost, WorkClass Class)
    -> void {
  std::size_t Index = findOrAddAccount(Account);
  std::size_t ClassIndex = classIndex(Class);
  setVirtualTime(Index, ClassIndex,
                 Accounts[Index].VirtualTime[ClassIndex] +
                     Cost / Accounts[Index].Share);
}

auto FairQueue::estimatedWait(std::string_view Account, WorkClass Class,
                              TimePoint Now) const -> Milliseconds {
  std::size_t ClassIndex = classIndex(Class);
  const ClassState &State = Classes[ClassIndex];
  // An empty queue admits every request, so that restored capacity is detected.
  if (State.Count == 0)
    return Milliseconds(0);
  double Elapsed = std::max(0.0, secondsBetween(State.RateUpdatedAt, Now));
  double Decay = std::exp(-Elapsed / RateTimeConstantSeconds);
  double Backlog =
      State.BacklogSeconds * Decay + RateTimeConstantSeconds * (1.0 - Decay);
  double Pops = State.Pops * Decay;
  // A long backlog without pops shows that there is no capacity, so the wait is
  // estimated despite the small number of pops.
  bool Stalled = Backlog > RateTimeConstantSeconds / 2;
  if ((Pops < MinimumPopsForRate && !Stalled) || Backlog <= 0)
    return Milliseconds(0);
  double Share = Limits.DefaultShare;
  std::size_t EntriesAhead = 0;
  auto Position = AccountIndex.find(Account);
  if (Position != AccountIndex.end()) {
    Share = Accounts[Position->second].Share;
    EntriesAhead = Accounts[Position->second].WaitingEntries[ClassIndex].size();
  }
  double TotalShare = State.ActiveShare + (EntriesAhead == 0 ? Share : 0.0);
  double AccountRate = Pops / Backlog * Share / TotalShare;
  double Seconds =
      static_cast<double>(EntriesAhead + 1) / std::max(AccountRate, 1e-9);
  auto Limit = static_cast<double>(MaximumEstimatedWait.count());
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
  return Classes[classIndex(Class)].Count;
}

auto FairQueue::accountSize(std::string_view Account) const -> std::size_t {
  auto Position = AccountIndex.find(Account);
  if (Position == AccountIndex.end())
    return 0;
  const AccountState &Found = Accounts[Position->second];
  return Found.WaitingEntries[0].size() + Found.WaitingEntries[1].size();
}

} // namespace jayramp
