#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"

#include <map>
#include <optional>
#include <string>

namespace jayramp::scheduling {

/// Tracks how much of a pool the runs of each client account use, so that the
/// account that has had least goes first while a few large ones submit more
/// than there is room for. An account without runs is forgotten once its recent
/// use is negligible. Performs no I/O and reads no clock.
class AccountShares {
public:
  /// \p Horizon is the time constant with which past use loses weight.
  explicit AccountShares(Milliseconds Horizon) : Horizon(Horizon) {}

  // Commands.

  /// Records that a run of the account takes resources.
  auto occupy(const std::string &Account, const Resources &Amount) -> void {
    Accounts[Account].Occupied += Amount;
  }
  /// Records that a run of the account, recorded before, frees its resources.
  auto release(const std::string &Account, const Resources &Amount) -> void {
    Accounts[Account].Occupied -= Amount;
  }
  /// Adds the use since the last call to the recent use.
  auto update(TimePoint Now) -> void;

  // Queries.

  /// Returns what the runs of the account occupy plus what they occupied on
  /// average recently, in core equivalents; 0 for unknown accounts.
  auto useOf(const std::string &Account) const -> double;
  /// Returns the largest of the accounts' uses as a share of all of them, from
  /// 0 to 1; 0 without accounts.
  auto largestShare() const -> double;
  /// Returns the name of the account with the largest use; empty if there is
  /// none.
  auto largestAccount() const -> std::string;
  /// Returns the number of accounts that are tracked.
  auto size() const -> std::size_t { return Accounts.size(); }

private:
  struct Use {
    Resources Occupied;
    double RecentAverage = 0; ///< Core equivalents.

    auto total() const -> double {
      return Occupied.coreEquivalents() + RecentAverage;
    }
  };

  Milliseconds Horizon;
  std::map<std::string, Use> Accounts;
  std::optional<TimePoint> UpdatedAt;
};

} // namespace jayramp::scheduling
