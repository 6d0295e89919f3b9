#pragma once

#include "Base/Clock.h"

#include <string>
#include <utility>

namespace jayramp::shard {

class WorkerRegistry;
struct ShardSettings;

/// Tells whether the owner of a shard knows recently enough where it may start
/// runs: an old list of workers may lack a drain notice, and an old set of
/// closed availability zones may lack a zone.
class FreshnessGuard {
public:
  FreshnessGuard(std::string Shard, const WorkerRegistry &Registry,
                 const ShardSettings &Settings)
      : Shard(std::move(Shard)), Registry(Registry), Settings(Settings) {}

  /// Records that the set of closed zones includes every change made before
  /// \p AsOf, on the clock of suspendAwareNow().
  auto setClosedZonesAsOf(Milliseconds AsOf) -> void { ClosedZonesAsOf = AsOf; }
  /// Logs what has become old, or fresh again, since the last call.
  auto logChanges() -> void;

  /// Returns whether the list of workers is recent enough for a start that is
  /// given up, if it was not sent, after \p StartTimeout.
  auto isWorkerListFresh(Milliseconds StartTimeout) const -> bool;
  auto areClosedZonesFresh() const -> bool;
  auto maySendStarts(Milliseconds StartTimeout) const -> bool {
    return isWorkerListFresh(StartTimeout) && areClosedZonesFresh();
  }

private:
  auto logChange(bool IsFresh, const char *Event) const -> void;

  std::string Shard;
  const WorkerRegistry &Registry;
  const ShardSettings &Settings;
  Milliseconds ClosedZonesAsOf{0};
  bool WorkerListWasFresh = true;
  bool ClosedZonesWereFresh = true;
};

} // namespace jayramp::shard
