#pragma once

#include "Shard/WorkerClock.h"

#include <optional>

namespace jayramp::shard {

/// Grants leases to one worker and tells when all of them are certainly over.
class WorkerLeases {
public:
  /// \p ExpireAt is the time at which leases that were granted before have
  /// expired.
  WorkerLeases(Milliseconds LeaseDuration, Milliseconds MaxLeaseDuration,
               std::optional<TimePoint> ExpireAt)
      : LeaseDuration(LeaseDuration), MaxLeaseDuration(MaxLeaseDuration),
        ExpireAt(ExpireAt.value_or(TimePoint())) {}

  // Commands.

  /// Grants a lease at \p Now, for everything that runs on the worker, and
  /// returns its end on the worker's clock in milliseconds. Must not be called
  /// while the clock is unknown.
  auto grant(TimePoint Now) -> std::int64_t;
  /// Returns the clock to which readings are added.
  auto clock() -> WorkerClock & { return Clock; }
  /// Handles the replacement of the worker's process, whose clock starts again.
  auto onNewIncarnation(TimePoint Now) -> void;

  // Queries.

  auto clock() const -> const WorkerClock & { return Clock; }
  /// Returns true once the worker's clock is known.
  auto canGrant() const -> bool { return Clock.isKnown(); }
  /// Returns the time from which no lease can be valid; the epoch if none was
  /// granted.
  auto expireAt() const -> TimePoint { return ExpireAt; }

private:
  auto extend(Milliseconds Duration, TimePoint Now) -> void;

  Milliseconds LeaseDuration;
  Milliseconds MaxLeaseDuration; ///< Workers shorten longer leases to this.
  WorkerClock Clock;
  TimePoint ExpireAt;
};

} // namespace jayramp::shard
