#include "Shard/ClosedZoneLog.h"

#include "Base/EventLog.h"
#include "Scheduling/ClosedZoneStatistics.h"

#include <utility>

namespace jayramp::shard {

auto ClosedZoneLog::update(const scheduling::ShardScheduler &Scheduler)
    -> void {
  const auto UseByZone = collectClosedZoneStatistics(Scheduler);
  std::erase_if(IsEmptyByZone, [&](const auto &Item) {
    const bool IsOpen = !UseByZone.contains(Item.first);
    if (IsOpen)
      logEvent(LogLevel::Info, "zone-opened",
               {{"shard", Shard}, {"zone", Item.first}});
    return IsOpen;
  });
  for (const auto &[Zone, Use] : UseByZone) {
    const auto [Position, IsNew] = IsEmptyByZone.emplace(Zone, false);
    // A zone without workers may be a misspelt one.
    if (IsNew)
      logEvent(Use.Workers > 0 ? LogLevel::Info : LogLevel::Warning,
               "zone-closed",
               {{"shard", Shard},
                {"zone", Zone},
                {"workers", std::to_string(Use.Workers)},
                {"runs", std::to_string(Use.Runs)}});
    const bool WasEmpty = std::exchange(Position->second, Use.Runs == 0);
    if (Position->second && !WasEmpty)
      logEvent(LogLevel::Info, "zone-empty",
               {{"shard", Shard}, {"zone", Zone}});
  }
}

} // namespace jayramp::shard
