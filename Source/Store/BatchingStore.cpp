#include "Store/BatchingStore.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

namespace jayramp::store {

namespace {

/// Half of the size that the store accepts in one transaction.
constexpr std::size_t MaxBatchBytes = 512U * 1024U;

auto partitionOf(const RowTransaction &Change) -> std::string {
  if (!Change.Writes.empty())
    return Change.Writes.front().Key.Partition;
  if (!Change.Removals.empty())
    return Change.Removals.front().Partition;
  return Change.Conditions.empty() ? std::string()
                                   : Change.Conditions.front().Key.Partition;
}

auto entryCount(const RowTransaction &Change) -> std::size_t {
  return Change.Conditions.size() + Change.Writes.size() +
         Change.Removals.size();
}

auto byteCount(const RowTransaction &Change) -> std::size_t {
  std::size_t Sum = 0;
  for (const auto &Write : Change.Writes)
    Sum += Write.Value.size();
  return Sum;
}

auto keysOf(const RowTransaction &Change) -> std::set<RowKey> {
  std::set<RowKey> Keys(Change.Removals.begin(), Change.Removals.end());
  for (const auto &Condition : Change.Conditions)
    Keys.insert(Condition.Key);
  for (const auto &Write : Change.Writes)
    Keys.insert(Write.Key);
  return Keys;
}

auto append(RowTransaction &Target, const RowTransaction &Source) -> void {
  std::copy(Source.Conditions.begin(), Source.Conditions.end(),
            std::back_inserter(Target.Conditions));
  std::copy(Source.Writes.begin(), Source.Writes.end(),
            std::back_inserter(Target.Writes));
  std::copy(Source.Removals.begin(), Source.Removals.end(),
            std::back_inserter(Target.Removals));
}

/// Returns the conflict of \p Change alone, given the current rows of all
/// conditions of its batch; none if its conditions hold.
auto conflictOf(const RowTransaction &Change, const TransactionConflict &Batch)
    -> std::optional<TransactionConflict> {
  TransactionConflict Own;
  bool Holds = true;
  for (const auto &Condition : Change.Conditions) {
    const auto Row = std::find_if(
        Batch.Current.begin(), Batch.Current.end(),
        [&](const auto &Each) { return Each.Key == Condition.Key; });
    const bool Exists = Row != Batch.Current.end();
    Holds = Holds && (Exists ? Row->Version : 0) == Condition.Version;
    if (Exists)
      Own.Current.push_back(*Row);
  }
  if (Holds)
    return std::nullopt;
  return Own;
}

} // namespace

auto BatchingStore::transact(const RowTransaction &Change, Milliseconds Timeout,
                             std::function<void(TransactionOutcome)> Done)
    -> void {
  const auto Name = partitionOf(Change);
  auto &Target = State->Partitions[Name];
  Target.Waiting.push_back(
      {Change, Timeout, Clock::now() + Timeout, std::move(Done)});
  if (!Target.InFlight)
    State->sendNext(Name);
}

auto BatchingStore::Core::takeBatch(Partition &Source) -> std::vector<Member> {
  std::vector<Member> Batch;
  std::vector<Member> Expired;
  std::deque<Member> Rest;
  std::set<RowKey> Keys;
  std::size_t Entries = 0;
  std::size_t Bytes = 0;
  for (auto &Each : Source.Waiting) {
    if (Clock::now() >= Each.Deadline) {
      Expired.push_back(std::move(Each));
      continue;
    }
    const auto OwnKeys = keysOf(Each.Change);
    const bool Overlaps =
        std::any_of(OwnKeys.begin(), OwnKeys.end(),
                    [&](const auto &Key) { return Keys.contains(Key); });
    const auto OwnEntries = entryCount(Each.Change);
    const auto OwnBytes = byteCount(Each.Change);
    const bool Fits =
        Batch.empty() ||
        (!Overlaps && Entries + OwnEntries <= RowTransaction::MaxEntries &&
         Bytes + OwnBytes <= MaxBatchBytes);
    // The keys of a transaction that does not fit count as well, so that no
    // later transaction on the same row overtakes it.
    Keys.insert(OwnKeys.begin(), OwnKeys.end());
    if (!Fits) {
      Rest.push_back(std::move(Each));
      continue;
    }
    Entries += OwnEntries;
    Bytes += OwnBytes;
    Batch.push_back(std::move(Each));
  }
  Source.Waiting = std::move(Rest);
  // Called last, because a callback may add transactions to the queue. The text
  // becomes the value of a metric label.
  for (const auto &Each : Expired)
    Each.Done(StoreRefusal{"not sent in time"});
  return Batch;
}

auto BatchingStore::Core::sendNext(const std::string &Name) -> void {
  auto Batch = takeBatch(Partitions[Name]);
  if (Batch.empty()) {
    Partitions.erase(Name);
    return;
  }
  Partitions[Name].InFlight = true;
  RowTransaction Combined;
  Milliseconds Timeout{0};
  for (const auto &Each : Batch) {
    append(Combined, Each.Change);
    Timeout = std::max(Timeout, Each.Timeout);
  }
  auto Shared = std::make_shared<std::vector<Member>>(std::move(Batch));
  Next.transact(Combined, Timeout,
                [Self = shared_from_this(), Name,
                 Shared](const TransactionOutcome &Outcome) {
                  Self->onOutcome(Name, std::move(*Shared), Outcome);
                });
}

auto BatchingStore::Core::onOutcome(const std::string &Name,
                                    std::vector<Member> Batch,
                                    const TransactionOutcome &Outcome) -> void {
  Partitions[Name].InFlight = false;
  const auto *Conflict = std::get_if<TransactionConflict>(&Outcome);
  if (Conflict && Batch.size() > 1)
    resolveConflict(Name, std::move(Batch), *Conflict);
  else
    for (const auto &Each : Batch)
      Each.Done(Outcome);
  // A callback may have sent the next transaction.
  const auto Target = Partitions.find(Name);
  if (Target != Partitions.end() && !Target->second.InFlight)
    sendNext(Name);
}

auto BatchingStore::Core::resolveConflict(const std::string &Name,
                                          std::vector<Member> Batch,
                                          const TransactionConflict &Conflict)
    -> void {
  std::vector<std::pair<Member, TransactionConflict>> Failed;
  auto &Waiting = Partitions[Name].Waiting;
  for (auto Each = Batch.rbegin(); Each != Batch.rend(); ++Each) {
    if (auto Own = conflictOf(Each->Change, Conflict))
      Failed.emplace_back(std::move(*Each), std::move(*Own));
    else
      Waiting.push_front(std::move(*Each));
  }
  for (const auto &[Each, Own] : Failed)
    Each.Done(Own);
}

auto BatchingStore::read(RangeQuery Query, Milliseconds Timeout,
                         std::function<void(ReadOutcome)> Done) -> void {
  State->Next.read(std::move(Query), Timeout, std::move(Done));
}

auto BatchingStore::changes(std::string Table, std::uint64_t After,
                            Milliseconds Wait,
                            std::function<void(ChangesOutcome)> Done) -> void {
  State->Next.changes(std::move(Table), After, Wait, std::move(Done));
}

auto BatchingStore::recentLatency() const -> Milliseconds {
  return State->Next.recentLatency();
}

auto BatchingStore::available() const -> bool {
  return State->Next.available();
}

} // namespace jayramp::store
