#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace jayramp {

enum class JobPriority { Urgent, Guaranteed, Surplus };

/// Part of a job that placement depends on.
struct JobSpecification {
  std::string Id;
  std::string Account;
  std::uint32_t Accelerators = 1; ///< Gang size, 1 to 64.
  JobPriority Priority = JobPriority::Surplus;
  bool Adjacent = false;
  Milliseconds DeclaredRunTime{0}; ///< A hint; no decision depends on it.

  auto operator==(const JobSpecification &) const -> bool = default;
};

} // namespace jayramp
