#pragma once

#include "Jobs/AccountPolicy.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jayramp {

/// The part of this host in job scheduling under the current view.
struct SchedulerRole {
  std::uint64_t ViewVersion = 0;
  bool IsScheduler = false; ///< The view makes this host the scheduler.
  /// True if the serving check permits starting, stopping and reclaiming gangs.
  /// Leases are renewed in any case; the epoch lets workers reject calls of a
  /// former scheduler.
  bool MayChangeGangs = false;

  auto operator==(const SchedulerRole &) const -> bool = default;
};

/// A worker as the host list describes it.
struct ListedWorker {
  std::string Name;
  std::string Address;
  std::string AvailabilityZone;
  std::string Rack;
  bool Leaving = false; ///< Gets no new gangs.

  auto operator==(const ListedWorker &) const -> bool = default;
};

/// Functions through which the gang runner reads state of the entry host. They
/// are called from one thread and must not block.
struct GangRunnerInputs {
  std::function<SchedulerRole()> ReadRole;
  std::function<std::vector<ListedWorker>()> ReadWorkers;
  std::function<std::vector<AccountPolicy>()> ReadAccounts;
};

} // namespace jayramp
