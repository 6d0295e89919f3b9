#include "Scheduling/AccountShares.h"

#include <algorithm>
#include <cmath>

namespace jayramp::scheduling {

namespace {

/// An account that occupies nothing is forgotten below this recent use, in core
/// equivalents.
constexpr double NegligibleUse = 0.1;

} // namespace

auto AccountShares::update(TimePoint Now) -> void {
  const std::chrono::duration<double> Elapsed = Now - UpdatedAt.value_or(Now);
  UpdatedAt = Now;
  const auto Weight =
      1.0 - std::exp(-std::max(Elapsed.count(), 0.0) /
                     std::chrono::duration<double>(Horizon).count());
  for (auto &[Account, Use] : Accounts)
    Use.RecentAverage +=
        (Use.Occupied.coreEquivalents() - Use.RecentAverage) * Weight;
  std::erase_if(Accounts, [](const auto &Each) {
    return Each.second.Occupied == Resources{} &&
           Each.second.RecentAverage < NegligibleUse;
  });
}

auto AccountShares::useOf(const std::string &Account) const -> double {
  const auto Found = Accounts.find(Account);
  return Found == Accounts.end() ? 0 : Found->second.total();
}

auto AccountShares::largestAccount() const -> std::string {
  const auto Largest =
      std::max_element(Accounts.begin(), Accounts.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.total() < Right.second.total();
                       });
  return Largest == Accounts.end() ? std::string() : Largest->first;
}

auto AccountShares::largestShare() const -> double {
  double Total = 0;
  for (const auto &[Account, Use] : Accounts)
    Total += Use.total();
  return Total > 0 ? useOf(largestAccount()) / Total : 0;
}

} // namespace jayramp::scheduling
