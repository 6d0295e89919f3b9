#pragma once

#include "Base/Clock.h"

#include <cstddef>

namespace jayramp {

/// Limits on the memory that a KeyRegistry uses.
struct KeyRegistryLimits {
  /// Maximum number of records. New claims and replicas are refused once it is
  /// reached. Transferred records are always accepted, because dropping one
  /// could let a request run twice.
  std::size_t MaxRecords = 200'000;
  /// Maximum total size of the stored outcomes, in bytes. An outcome that would
  /// exceed it is not stored; its record is marked as having an unknown
  /// outcome.
  std::size_t MaxOutcomeBytes = 64U << 20U;
  /// Time for which the records of ended keys are kept.
  Milliseconds Retention{300'000};
};

} // namespace jayramp
