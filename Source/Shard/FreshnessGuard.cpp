#include "Shard/FreshnessGuard.h"

#include "Base/EventLog.h"
#include "Base/SuspendAwareClock.h"
#include "Shard/ShardSettings.h"
#include "Shard/WorkerRegistry.h"

#include <utility>

namespace jayramp::shard {

auto FreshnessGuard::isWorkerListFresh(Milliseconds StartTimeout) const
    -> bool {
  const auto Age = suspendAwareNow() - Registry.completeAsOf();
  return Age + StartTimeout <=
         Settings.MaxWorkerListAge + Settings.OrderTimeout;
}

auto FreshnessGuard::areClosedZonesFresh() const -> bool {
  const auto &MaxAge = Settings.MaxClosedZonesAge;
  return !MaxAge || suspendAwareNow() - ClosedZonesAsOf <= *MaxAge;
}

auto FreshnessGuard::logChanges() -> void {
  const bool IsListFresh = isWorkerListFresh(Settings.OrderTimeout);
  if (std::exchange(WorkerListWasFresh, IsListFresh) != IsListFresh) {
    const auto *Event = IsListFresh ? "worker-list-fresh" : "worker-list-old";
    logChange(IsListFresh, Event);
  }
  const bool AreZonesFresh = areClosedZonesFresh();
  if (std::exchange(ClosedZonesWereFresh, AreZonesFresh) != AreZonesFresh) {
    const auto *Event =
        AreZonesFresh ? "closed-zones-fresh" : "closed-zones-old";
    logChange(AreZonesFresh, Event);
  }
}

auto FreshnessGuard::logChange(bool IsFresh, const char *Event) const -> void {
  logEvent(IsFresh ? LogLevel::Info : LogLevel::Warning, Event,
           {{"shard", Shard}});
}

} // namespace jayramp::shard
