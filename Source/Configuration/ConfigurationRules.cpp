#include "Configuration/ConfigurationRules.h"

#include "jayramp/v1/jayramp.pb.h"

#include <set>
#include <string>
#include <utility>

namespace jayramp {

namespace {

constexpr std::size_t LongestName = 128;
constexpr std::uint32_t HighestShare = 1000;
constexpr std::uint32_t LargestShape = 64;
constexpr std::uint32_t HighestPercent = 100;
constexpr std::uint32_t HighestCount = 1'000'000;
constexpr std::uint32_t LongestLimitMs = 600'000;

auto invalid(std::string Place, std::string Detail, std::string Remedy)
    -> Error {
  return Error::make(ErrorKind::InvalidArgument, "document." + std::move(Place),
                     std::move(Detail), std::move(Remedy));
}

auto checkRange(const std::string &Place, std::uint64_t Value,
                std::uint64_t Lowest, std::uint64_t Highest) -> Result<void> {
  if (Value >= Lowest && Value <= Highest)
    return success();
  return invalid(Place, "is " + std::to_string(Value),
                 "choose a value from " + std::to_string(Lowest) + " to " +
                     std::to_string(Highest));
}

auto checkName(const std::string &Place, const std::string &Name)
    -> Result<void> {
  bool Visible = !Name.empty() && Name.size() <= LongestName;
  // A slash would end the account part of the path of an API call.
  for (char Character : Name)
    Visible =
        Visible && Character > ' ' && Character < '\x7f' && Character != '/';
  if (Visible)
    return success();
  return invalid(Place, Name.empty() ? "is empty" : "is not usable: " + Name,
                 "use 1 to 128 visible ASCII characters without a slash");
}

auto checkAccount(const std::string &Place, const v1::ClientAccount &Account)
    -> Result<void> {
  BOOST_OUTCOME_TRYV(checkName(Place + ".name", Account.name()));
  BOOST_OUTCOME_TRYV(checkRange(Place + ".request_share",
                                Account.request_share(), 1, HighestShare));
  std::uint64_t Guaranteed = 0;
  for (int Index = 0; Index < Account.guarantees_size(); ++Index) {
    const auto &Shape = Account.guarantees(Index);
    std::string Entry = Place + ".guarantees[" + std::to_string(Index) + "]";
    BOOST_OUTCOME_TRYV(checkRange(Entry + ".accelerators", Shape.accelerators(),
                                  1, LargestShape));
    BOOST_OUTCOME_TRYV(
        checkRange(Entry + ".count", Shape.count(), 1, HighestCount));
    Guaranteed +=
        static_cast<std::uint64_t>(Shape.accelerators()) * Shape.count();
  }
  if (Account.accelerator_quota() != 0 &&
      Account.accelerator_quota() < Guaranteed)
    return invalid(Place + ".accelerator_quota",
                   "is " + std::to_string(Account.accelerator_quota()) +
                       ", below the guaranteed " + std::to_string(Guaranteed),
                   "raise the quota, or set 0 for no limit");
  return success();
}

} // namespace

auto checkConfiguration(const v1::ConfigurationDocument &Document)
    -> Result<void> {
  std::set<std::string> Names;
  for (int Index = 0; Index < Document.accounts_size(); ++Index) {
    std::string Place = "accounts[" + std::to_string(Index) + "]";
    const auto &Account = Document.accounts(Index);
    BOOST_OUTCOME_TRYV(checkAccount(Place, Account));
    if (!Names.insert(Account.name()).second)
      return invalid(Place + ".name", "occurs twice: " + Account.name(),
                     "merge the two accounts or rename one");
  }
  BOOST_OUTCOME_TRYV(checkRange("short_limit_ms", Document.short_limit_ms(), 0,
                                LongestLimitMs));
  BOOST_OUTCOME_TRYV(checkRange(
      "long_slot_percent", Document.long_slot_percent(), 0, HighestPercent));
  BOOST_OUTCOME_TRYV(
      checkRange("queue_limit", Document.queue_limit(), 0, HighestCount));
  return checkRange("retry_budget_percent", Document.retry_budget_percent(), 0,
                    HighestPercent);
}

} // namespace jayramp
