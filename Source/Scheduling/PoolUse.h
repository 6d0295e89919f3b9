#pragma once

#include "Scheduling/WorkerEntry.h"

#include <map>
#include <string>

namespace jayramp::scheduling {

/// Returns the share of the capacity of the registered workers of \p Service
/// that runs occupy, from 0 to 1, by core equivalents; 1 if there are none.
/// Workers in closed zones do not count.
auto poolUse(const std::map<std::string, WorkerEntry> &Workers,
             const std::string &Service) -> double;

} // namespace jayramp::scheduling
