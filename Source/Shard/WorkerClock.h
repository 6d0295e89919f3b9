#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp::shard {

/// A worker's steady clock, as far as its answers have told it. Leases are
/// granted in its time.
class WorkerClock {
public:
  /// The worker's clock showed \p ClockMs just now; 0: it did not say.
  auto update(std::int64_t ClockMs) -> void;
  /// The worker's process started anew, and its clock with it.
  auto reset() -> void { Known = false; }

  auto isKnown() const -> bool { return Known; }
  /// End of a lease that is granted now, in the worker's time.
  auto leaseEnd(Milliseconds Lease) const -> std::int64_t;
  /// How long after its grant a lease may last on our clock.
  static auto maxLeaseDuration(Milliseconds Lease) -> Milliseconds;

private:
  std::int64_t OffsetMs = 0; ///< Worker's clock less ours.
  bool Known = false;
};

} // namespace jayramp::shard
