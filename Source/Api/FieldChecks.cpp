#include "Api/FieldChecks.h"

#include "Configuration/ConfigurationQueries.h"

#include "jayramp/v1/jayramp.pb.h"

#include <algorithm>

namespace jayramp {

namespace {

constexpr std::size_t MaxNameLength = 128;

} // namespace

auto checkName(const std::string &Field, const std::string &Value)
    -> Result<void> {
  if (Value.empty())
    return Error::make(
        ErrorKind::InvalidArgument, Field, "the field is missing",
        "set " + Field + " to 1 to 128 visible ASCII characters");
  bool IsVisible = std::all_of(Value.begin(), Value.end(), [](char Character) {
    return Character > ' ' && Character < '\x7f';
  });
  if (Value.size() > MaxNameLength || !IsVisible)
    return Error::make(ErrorKind::InvalidArgument, Field,
                       "the value is not 1 to 128 visible ASCII characters",
                       "shorten " + Field +
                           " or replace its blanks and other characters");
  return success();
}

auto checkRange(const std::string &Field, std::uint64_t Value,
                std::uint64_t Minimum, std::uint64_t Maximum) -> Result<void> {
  if (Value >= Minimum && Value <= Maximum)
    return success();
  return Error::make(ErrorKind::InvalidArgument, Field,
                     std::to_string(Value) + " is out of range",
                     "send a value from " + std::to_string(Minimum) + " to " +
                         std::to_string(Maximum));
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
