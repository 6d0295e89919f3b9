#pragma once

#include "Base/Clock.h"

#include <cstddef>

namespace jayramp {

/// Bounds on the memory of a KeyRegistry.
struct KeyRegistryLimits {
  /// New claims and replicas are refused above this count. Transfers are
  /// always taken, because a dropped record could let a request run twice.
  std::size_t MaxRecords = 200'000;
  /// Outcomes above this sum are kept without their bytes, as unknown.
  std::size_t MaxOutcomeBytes = 64U << 20U;
  /// Time for which ended keys are kept.
  Milliseconds Retention{300'000};
};

} // namespace jayramp
