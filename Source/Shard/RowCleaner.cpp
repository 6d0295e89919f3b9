#include "Shard/RowCleaner.h"

#include <utility>

namespace jayramp::shard {

namespace {

/// Time for which removals are collected before they are sent as one batch.
constexpr Milliseconds BatchingDelay{300};

} // namespace

auto RowCleaner::remove(std::vector<store::RowKey> Keys,
                        std::function<void()> Done) -> void {
  if (Keys.empty())
    return;
  const auto Name = Keys.front().Partition;
  auto &State = Partitions[Name];
  for (auto &Key : Keys)
    State.Pending.Keys.push_back(std::move(Key));
  if (Done)
    State.Pending.Done.push_back(std::move(Done));
  if (!State.HasActiveBatch)
    scheduleSend(Name);
}

auto RowCleaner::scheduleSend(const std::string &Name) -> void {
  auto &State = Partitions[Name];
  State.HasActiveBatch = true;
  State.Delay = Loop.after(BatchingDelay, [Weak = weak_from_this(), Name] {
    if (const auto Self = Weak.lock(); Self && !Self->Closed)
      Self->send(Name);
  });
}

auto RowCleaner::send(const std::string &Name) -> void {
  auto &State = Partitions[Name];
  if (State.InFlight.Keys.empty()) {
    State.InFlight = std::exchange(State.Pending, {});
    constexpr auto MaxRemovals = store::RowTransaction::MaxEntries;
    if (State.InFlight.Keys.size() > MaxRemovals) {
      // The callbacks are called after the last batch of their keys.
      State.Pending.Keys.assign(State.InFlight.Keys.begin() + MaxRemovals,
                                State.InFlight.Keys.end());
      State.InFlight.Keys.resize(MaxRemovals);
      State.Pending.Done = std::exchange(State.InFlight.Done, {});
    }
  }
  Store.transact(
      {{}, {}, State.InFlight.Keys}, Settings.StoreTimeout,
      [Self = shared_from_this(), Name](store::TransactionOutcome Outcome) {
        if (Self->Closed)
          return;
        auto &State = Self->Partitions[Name];
        // Removals are unconditional, so repeating them is safe.
        if (!std::holds_alternative<store::TransactionCommitted>(Outcome)) {
          Self->scheduleSend(Name);
          return;
        }
        const auto Finished = std::exchange(State.InFlight, {});
        State.HasActiveBatch = false;
        if (!State.Pending.Keys.empty())
          Self->scheduleSend(Name);
        for (const auto &Done : Finished.Done)
          Done();
      });
}

} // namespace jayramp::shard
