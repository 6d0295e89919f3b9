#pragma once

#include <cstddef>

namespace jayramp {

/// Size limits and default weight of a FairQueue.
struct FairQueueLimits {
  std::size_t MaxEntries = 4096; ///< Over all accounts.
  std::size_t MaxEntriesPerAccount = 1024;
  /// Weight of an account for which FairQueue::setShare() was not called.
  double DefaultShare = 1.0;
};

} // namespace jayramp
