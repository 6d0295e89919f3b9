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

/// Returns the same for the runs whose start their workers have confirmed and
/// that are not being stopped. If it stays far below poolUse(), the owner may
/// take room for used that is free.
auto confirmedPoolUse(const std::map<std::string, WorkerEntry> &Workers,
                      const std::string &Service) -> double;

} // namespace jayramp::scheduling
