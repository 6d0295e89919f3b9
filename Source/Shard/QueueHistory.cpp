#include "Shard/QueueHistory.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

/// Time after a change of a queue's service in which another host may still
/// store jobs for the former one: the age that a host's configuration may have,
/// and the time that one of its writes may be under way.
constexpr Milliseconds ChangeSettlingTime{15000};
/// Time for which a queue that is no longer configured is remembered.
constexpr std::chrono::hours RemovedQueueRetention{24};
constexpr std::size_t MaxFormerServices = 4;

} // namespace

auto QueueHistory::record(const ServingConfiguration &Configuration,
                          TimePoint Now) -> void {
  for (const auto &Queue : Configuration.Queues)
    recordQueue(Entries[Queue.Name], Queue.Service, Now);
  std::erase_if(Entries, [&](const auto &Named) {
    return Now - Named.second.ConfiguredAt > RemovedQueueRetention;
  });
}

auto QueueHistory::recordQueue(Entry &Known, const std::string &Service,
                               TimePoint Now) -> void {
  Known.ConfiguredAt = Now;
  if (Known.Current == Service)
    return;
  if (!Known.Current.empty()) {
    std::erase(Known.Former, Service);
    Known.Former.insert(Known.Former.begin(), Known.Current);
    if (Known.Former.size() > MaxFormerServices)
      Known.Former.pop_back();
    Known.ChangedAt = Now;
  }
  Known.Current = Service;
}

auto QueueHistory::servicesOf(const std::string &Queue, TimePoint Now) const
    -> QueueServices {
  const auto Found = Entries.find(Queue);
  if (Found == Entries.end())
    return {};
  const auto &Known = Found->second;
  const bool ChangedRecently =
      !Known.Former.empty() && Now - Known.ChangedAt < ChangeSettlingTime;
  return {Known.Current, Known.Former, ChangedRecently};
}

} // namespace jayramp::shard
