#include "Settings/SettingDescription.h"

#include <algorithm>
#include <charconv>
#include <type_traits>

namespace jayramp {

namespace {

using Sections = DaemonSettings::Sections;

template <typename T>
constexpr auto IsNumber =
    std::is_same_v<T, Milliseconds> ||
    std::is_same_v<T, std::chrono::seconds> || std::is_same_v<T, std::size_t> ||
    std::is_same_v<T, std::uint32_t>;

auto quote(std::string_view Text) -> std::string {
  return "\"" + std::string(Text) + "\"";
}

auto isNameCharacter(char Character) -> bool {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.';
}

auto parseInto(std::string_view Text, std::string &Target,
               const SettingDescription &) -> std::string {
  constexpr std::size_t MaxNameLength = 63;
  if (Text.empty())
    return "the name is empty";
  if (Text.size() > MaxNameLength)
    return "the name has " + std::to_string(Text.size()) +
           " characters, but at most 63 are permitted";
  auto Invalid = std::find_if_not(Text.begin(), Text.end(), isNameCharacter);
  if (Invalid != Text.end())
    return quote(Text) + " contains the invalid character " +
           quote(std::string_view(&*Invalid, 1));
  Target = Text;
  return {};
}

auto parseInto(std::string_view Text, SocketAddress &Target,
               const SettingDescription &) -> std::string {
  auto Address = SocketAddress::parse(Text);
  if (!Address)
    return quote(Text) + " is not an IP address with a port from 1 to 65535";
  Target = *std::move(Address);
  return {};
}

auto parseInto(std::string_view Text, bool &Target, const SettingDescription &)
    -> std::string {
  if (Text != "true" && Text != "false")
    return quote(Text) + " is neither true nor false";
  Target = Text == "true";
  return {};
}

auto parseInto(std::string_view Text, LogLevel &Target,
               const SettingDescription &) -> std::string {
  if (Text == "debug")
    Target = LogLevel::Debug;
  else if (Text == "info")
    Target = LogLevel::Info;
  else if (Text == "warning")
    Target = LogLevel::Warning;
  else if (Text == "error")
    Target = LogLevel::Error;
  else
    return quote(Text) + " is not a log level";
  return {};
}

template <typename T>
auto parseInto(std::string_view Text, T &Target,
               const SettingDescription &Setting)
    -> std::enable_if_t<IsNumber<T>, std::string> {
  std::int64_t Number = 0;
  const auto *End = Text.data() + Text.size();
  auto [Rest, Code] = std::from_chars(Text.data(), End, Number);
  if (Code == std::errc::result_out_of_range && Rest == End)
    return std::string(Text) + " is out of range";
  if (Code != std::errc() || Rest != End)
    return quote(Text) + " is not a whole number";
  if (Number < Setting.Minimum || Number > Setting.Maximum)
    return std::string(Text) + " is out of range";
  if (Setting.Unit == "KiB")
    Number *= 1024;
  Target = T(Number);
  return {};
}

template <typename T> auto typeName() -> std::string_view {
  if constexpr (std::is_same_v<T, std::string>)
    return "name";
  else if constexpr (std::is_same_v<T, SocketAddress>)
    return "IP:port";
  else if constexpr (std::is_same_v<T, bool>)
    return "true or false";
  else if constexpr (std::is_same_v<T, LogLevel>)
    return "log level";
  else
    return "whole number";
}

template <typename T>
auto fieldType(auto(*)(Sections &)->T &) -> std::type_identity<T> {
  return {};
}

} // namespace

auto SettingDescription::type() const -> std::string_view {
  return std::visit(
      [](auto Accessor) {
        return typeName<typename decltype(fieldType(Accessor))::type>();
      },
      Target);
}

auto SettingDescription::range() const -> std::string {
  auto Type = type();
  if (Type == "name")
    return "1 to 63 letters, digits, '-', '_' or '.'";
  if (Type == "IP:port")
    return "an IPv4 address or a quoted IPv6 address in brackets, port 1 to "
           "65535";
  if (Type == "true or false")
    return "true or false";
  if (Type == "log level")
    return "debug, info, warning or error";
  auto Text = std::to_string(Minimum) + " to " + std::to_string(Maximum);
  if (!Unit.empty())
    Text += " " + std::string(Unit);
  return Text;
}

auto SettingDescription::section() const -> std::string_view {
  return Key.substr(0, Key.find('.'));
}

auto SettingDescription::store(std::string_view Text, Sections &Values) const
    -> std::string {
  return std::visit(
      [&](auto Accessor) { return parseInto(Text, Accessor(Values), *this); },
      Target);
}

} // namespace jayramp
