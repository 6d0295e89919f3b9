#pragma once

#include <cstddef>

namespace jayramp {

/// Bounds of a FairQueue.
struct FairQueueLimits {
  std::size_t MaxEntries = 4096;
  std::size_t MaxEntriesPerAccount = 1024;
  /// Share of an account for which setShare() was not called.
  double DefaultShare = 1.0;
};

} // namespace jayramp
