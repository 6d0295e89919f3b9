#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// Priority classes of jobs; surplus gangs can be reclaimed.
enum class JobPriority { Urgent, Guaranteed, Surplus };

/// The properties of a job that the client chooses and that placement uses.
struct JobSpecification {
  std::string Id;
  std::string Account;
  std::uint32_t Accelerators = 1; ///< Gang size, 1 to 64.
  JobPriority Priority = JobPriority::Surplus;
  bool Adjacent = false;           ///< Requires adjacent accelerators.
  Milliseconds DeclaredRunTime{0}; ///< As declared; not used for decisions.

  auto operator==(const JobSpecification &) const -> bool = default;
};

} // namespace jayramp
