#pragma once

#include "Jobs/AccountPolicy.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jayramp {

/// What this host may do for the job plane at the moment.
struct SchedulerRole {
  std::uint64_t ViewVersion = 0;
  bool IsScheduler = false; ///< This host is the scheduler of the view.
  /// True if the serving gate permits to start and reclaim. Leases are renewed
  /// in any case; the epoch protects the workers from a former scheduler.
  bool MayChangeGangs = false;

  auto operator==(const SchedulerRole &) const -> bool = default;
};

/// A worker of the host list.
struct ListedWorker {
  std::string Name;
  std::string Address;
  std::string AvailabilityZone;
  std::string Rack;
  bool Leaving = false;

  auto operator==(const ListedWorker &) const -> bool = default;
};

/// What the gang runner asks the rest of the entry host. The functions are
/// called from one thread and must not block.
struct GangRunnerInputs {
  std::function<SchedulerRole()> ReadRole;
  std::function<std::vector<ListedWorker>()> ReadWorkers;
  std::function<std::vector<AccountPolicy>()> ReadAccounts;
};

} // namespace jayramp
