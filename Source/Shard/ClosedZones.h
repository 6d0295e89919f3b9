#pragma once

#include "Base/Clock.h"

#include <set>
#include <string>

namespace jayramp::shard {

/// The availability zones whose workers get no new runs, as a host knows them.
struct ClosedZones {
  std::set<std::string> Zones;
  /// Every change made before this time is included; on the clock of
  /// suspendAwareNow().
  Milliseconds CompleteAsOf{0};

  auto operator==(const ClosedZones &) const -> bool = default;
};

} // namespace jayramp::shard
