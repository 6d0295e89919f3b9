#include "Shard/FreshnessGuard.h"

#include "Base/EventLog.h"
#include "Base/SuspendAwareClock.h"
#include "Shard/ShardSettings.h"
#include "Shard/WorkerRegistry.h"

namespace jayramp::shard {

auto FreshnessGuard::isWorkerListFresh() const -> bool {
  return suspendAwareNow() - Registry.completeAsOf() <=
         Settings.MaxWorkerListAge;
}

auto FreshnessGuard::areClosedZonesFresh() const -> bool {
  const auto &MaxAge = Settings.MaxClosedZonesAge;
  return !MaxAge || suspendAwareNow() - ClosedZonesAsOf <= *MaxAge;
}

auto FreshnessGuard::logChanges() -> void {
  logChange(isWorkerListFresh(), WorkerListWasFresh, "worker-list-fresh",
            "worker-list-old");
  logChange(areClosedZonesFresh(), ClosedZonesWereFresh, "closed-zones-fresh",
            "closed-zones-old");
}

auto FreshnessGuard::logChange(bool IsFresh, bool &WasFresh,
                               const char *FreshEvent,
                               const char *OldEvent) const -> void {
  if (IsFresh == WasFresh)
    return;
  WasFresh = IsFresh;
  logEvent(IsFresh ? LogLevel::Info : LogLevel::Warning,
           IsFresh ? FreshEvent : OldEvent, {{"shard", Shard}});
}

} // namespace jayramp::shard
