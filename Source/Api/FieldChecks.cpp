#include "Api/FieldChecks.h"

#include "Configuration/ConfigurationQueries.h"

#include "jayramp/v1/jayramp.pb.h"

#include <algorithm>

namespace jayramp {

namespace {

constexpr std::size_t LongestName = 128;

} // namespace

auto checkName(const std::string &Field, const std::string &Value)
    -> Result<void> {
  if (Value.empty())
    return Error::make(ErrorKind::InvalidArgument, Field, "is missing",
                       "set " + Field);
  bool Visible = std::all_of(Value.begin(), Value.end(), [](char Character) {
    return Character > ' ' && Character < '\x7f';
  });
  if (Value.size() > LongestName || !Visible)
    return Error::make(ErrorKind::InvalidArgument, Field,
                       "is not 1 to 128 visible ASCII characters",
                       "shorten " + Field + " or replace other characters");
  return success();
}

auto checkRange(const std::string &Field, std::uint64_t Value,
                std::uint64_t Lowest, std::uint64_t Highest) -> Result<void> {
  if (Value >= Lowest && Value <= Highest)
    return success();
  return Error::make(ErrorKind::InvalidArgument, Field,
                     std::to_string(Value) + " is out of range",
                     "send a value from " + std::to_string(Lowest) + " to " +
                         std::to_string(Highest));
}

auto checkAccountExists(const ConfigurationQueries &Settings,
                        const std::string &Account) -> Result<void> {
  auto Current = Settings.current();
  for (const auto &Entry : Current->document().accounts())
    if (Entry.name() == Account)
      return success();
  return Error::make(ErrorKind::NotFound, "account",
                     "there is no client account '" + Account + "'",
                     "correct the name or add the account with 'jayrampctl "
                     "account set'");
}

} // namespace jayramp
