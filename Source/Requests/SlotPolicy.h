#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp {

/// Parameters of a SlotLedger.
struct SlotPolicy {
  /// Percentage of a worker's slots that long work may use, 0 to 100. A worker
  /// with two or more slots always keeps one slot for short work.
  std::uint32_t LongPercent = 50;
  /// A short request that uses its slot for longer counts as long work.
  Milliseconds ShortLimit{1'000};
  /// Age from which a grant is taken to be visible in the worker's status.
  /// Holders dispatch at once, and the status is read once a second.
  Milliseconds GrantSettleTime{2'000};
  /// Connections that a worker accepts. One is reserved for status calls; each
  /// of the others carries one request.
  std::uint32_t Connections = 64;
  std::uint64_t Seed = 1; ///< Seed of the random choice of workers.
};

} // namespace jayramp
