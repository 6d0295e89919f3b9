#include "Configuration/ConfigurationRules.h"

#include "jayramp/v1/jayramp.pb.h"

#include <set>
#include <string>
#include <utility>

namespace jayramp {

namespace {

constexpr std::size_t MaxNameLength = 128;
constexpr std::uint32_t MaxRequestShare = 1000;
constexpr std::uint32_t MaxAcceleratorsPerShape = 64;
constexpr std::uint32_t MaxPercent = 100;
constexpr std::uint32_t MaxCount = 1'000'000;
constexpr std::uint32_t MaxShortLimitMs = 600'000;

auto makeError(std::string Path, std::string Detail, std::string Remedy)
    -> Error {
  return Error::make(ErrorKind::InvalidArgument, "document." + std::move(Path),
                     std::move(Detail), std::move(Remedy));
}

auto checkRange(const std::string &Path, std::uint64_t Value,
                std::uint64_t Minimum, std::uint64_t Maximum) -> Result<void> {
  if (Value >= Minimum && Value <= Maximum)
    return success();
  return makeError(Path,
                   "is " + std::to_string(Value) + ", which is out of range",
                   "choose a value from " + std::to_string(Minimum) + " to " +
                       std::to_string(Maximum));
}

auto checkName(const std::string &Path, const std::string &Name)
    -> Result<void> {
  bool Valid = !Name.empty() && Name.size() <= MaxNameLength;
  // The name is one segment of the paths of API calls, so it must not contain a
  // slash.
  for (char Character : Name)
    Valid = Valid && Character > ' ' && Character < '\x7f' && Character != '/';
  if (Valid)
    return success();
  return makeError(Path,
                   Name.empty() ? "is empty"
                                : "contains an invalid character or is longer "
                                  "than 128 characters: " +
                                      Name,
                   "use 1 to 128 visible ASCII characters without a slash");
}

auto checkAccount(const std::string &Path, const v1::ClientAccount &Account)
    -> Result<void> {
  BOOST_OUTCOME_TRYV(checkName(Path + ".name", Account.name()));
  BOOST_OUTCOME_TRYV(checkRange(Path + ".request_share",
                                Account.request_share(), 1, MaxRequestShare));
  std::uint64_t Guaranteed = 0;
  for (int Index = 0; Index < Account.guarantees_size(); ++Index) {
    const auto &Shape = Account.guarantees(Index);
    std::string ShapePath = Path + ".guarantees[" + std::to_string(Index) + "]";
    BOOST_OUTCOME_TRYV(checkRange(ShapePath + ".accelerators",
                                  Shape.accelerators(), 1,
                                  MaxAcceleratorsPerShape));
    BOOST_OUTCOME_TRYV(
        checkRange(ShapePath + ".count", Shape.count(), 1, MaxCount));
    Guaranteed +=
        static_cast<std::uint64_t>(Shape.accelerators()) * Shape.count();
  }
  if (Account.accelerator_quota() != 0 &&
      Account.accelerator_quota() < Guaranteed)
    return makeError(Path + ".accelerator_quota",
                     "is " + std::to_string(Account.accelerator_quota()) +
                         ", less than the " + std::to_string(Guaranteed) +
                         " accelerators that the guarantees add up to",
                     "raise the quota, or set it to 0 for no limit");
  return success();
}

} // namespace

auto checkConfiguration(const v1::ConfigurationDocument &Document)
    -> Result<void> {
  std::set<std::string> Names;
  for (int Index = 0; Index < Document.accounts_size(); ++Index) {
    std::string Path = "accounts[" + std::to_string(Index) + "]";
    const auto &Account = Document.accounts(Index);
    BOOST_OUTCOME_TRYV(checkAccount(Path, Account));
    if (!Names.insert(Account.name()).second)
      return makeError(Path + ".name",
                       "repeats the name of an earlier account: " +
                           Account.name(),
                       "merge the two accounts or rename one");
  }
  BOOST_OUTCOME_TRYV(checkRange("short_limit_ms", Document.short_limit_ms(), 0,
                                MaxShortLimitMs));
  BOOST_OUTCOME_TRYV(checkRange("long_slot_percent",
                                Document.long_slot_percent(), 0, MaxPercent));
  BOOST_OUTCOME_TRYV(
      checkRange("queue_limit", Document.queue_limit(), 0, MaxCount));
  return checkRange("retry_budget_percent", Document.retry_budget_percent(), 0,
                    MaxPercent);
}

} // namespace jayramp
