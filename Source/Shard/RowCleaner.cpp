#include "Shard/RowCleaner.h"

#include <utility>

namespace jayramp::shard {

namespace {

/// Removals are collected for this long before they are sent together.
constexpr Milliseconds CollectionTime{300};

} // namespace

auto RowCleaner::remove(std::vector<store::RowKey> Keys,
                        std::function<void()> Done) -> void {
  if (Keys.empty())
    return;
  const auto Name = Keys.front().Partition;
  auto &Target = Partitions[Name];
  for (auto &Key : Keys)
    Target.Waiting.Keys.push_back(std::move(Key));
  if (Done)
    Target.Waiting.Done.push_back(std::move(Done));
  if (!Target.Busy)
    later(Name);
}

auto RowCleaner::later(const std::string &Name) -> void {
  auto &Target = Partitions[Name];
  Target.Busy = true;
  Target.Delay = Loop.after(CollectionTime, [Weak = weak_from_this(), Name] {
    if (const auto Self = Weak.lock(); Self && !Self->Closed)
      Self->send(Name);
  });
}

auto RowCleaner::send(const std::string &Name) -> void {
  auto &Target = Partitions[Name];
  if (Target.InFlight.Keys.empty()) {
    Target.InFlight = std::exchange(Target.Waiting, {});
    constexpr auto Most = store::RowTransaction::MaxEntries;
    if (Target.InFlight.Keys.size() > Most) {
      // Callbacks wait for the rest of the keys.
      Target.Waiting.Keys.assign(Target.InFlight.Keys.begin() + Most,
                                 Target.InFlight.Keys.end());
      Target.InFlight.Keys.resize(Most);
      Target.Waiting.Done = std::exchange(Target.InFlight.Done, {});
    }
  }
  Store.transact(
      {{}, {}, Target.InFlight.Keys}, Settings.StoreTimeout,
      [Self = shared_from_this(), Name](store::TransactionOutcome Outcome) {
        if (Self->Closed)
          return;
        auto &Part = Self->Partitions[Name];
        // Removals have no condition, so they can be repeated.
        if (!std::holds_alternative<store::TransactionCommitted>(Outcome)) {
          Self->later(Name);
          return;
        }
        const auto Finished = std::exchange(Part.InFlight, {});
        Part.Busy = false;
        if (!Part.Waiting.Keys.empty())
          Self->later(Name);
        for (const auto &Done : Finished.Done)
          Done();
      });
}

} // namespace jayramp::shard
