#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp {

/// Limits of a SlotLedger.
struct SlotPolicy {
  /// Part of a worker's slots that long work may hold, 0 to 100. A worker with
  /// two or more slots always keeps one free of long work.
  std::uint32_t LongPercent = 50;
  /// A short request that holds its slot longer counts as long.
  Milliseconds ShortLimit{1'000};
  /// A grant of this age counts as started in the worker's status. Holders
  /// dispatch at once, and the worker reports once a second.
  Milliseconds SettleTime{2'000};
  /// Connections that a worker accepts. One is kept for status calls; each of
  /// the others carries one request.
  std::uint32_t Connections = 64;
  std::uint64_t Seed = 1; ///< Of the random choice of workers.
};

} // namespace jayramp
