#include "Settings/SocketAddress.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <utility>

namespace jayramp {

namespace {

auto parsePort(std::string_view Text) -> std::optional<std::uint16_t> {
  std::uint16_t Port = 0;
  const auto *End = Text.data() + Text.size();
  auto [Rest, Code] = std::from_chars(Text.data(), End, Port);
  if (Code != std::errc() || Rest != End || Port == 0 || Text.front() == '0')
    return std::nullopt;
  return Port;
}

/// Returns \p Text in the canonical form of inet_ntop(), so that equal
/// addresses compare equal, or nothing if it is not an address of \p Family.
auto canonicalize(int Family, const std::string &Text)
    -> std::optional<std::string> {
  std::array<unsigned char, sizeof(in6_addr)> Binary{};
  if (inet_pton(Family, Text.c_str(), Binary.data()) != 1)
    return std::nullopt;
  std::array<char, INET6_ADDRSTRLEN> Canonical{};
  if (inet_ntop(Family, Binary.data(), Canonical.data(), Canonical.size()) ==
      nullptr)
    return std::nullopt;
  return std::string(Canonical.data());
}

} // namespace

SocketAddress::SocketAddress(std::string Address, std::uint16_t Port)
    : Address(std::move(Address)), Port(Port) {}

auto SocketAddress::parse(std::string_view Text)
    -> std::optional<SocketAddress> {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0 ||
      Text.find('\0') != std::string_view::npos)
    return std::nullopt;
  auto Port = parsePort(Text.substr(Colon + 1));
  if (!Port)
    return std::nullopt;
  auto Host = Text.substr(0, Colon);
  std::optional<std::string> Address;
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Address =
        canonicalize(AF_INET6, std::string(Host.substr(1, Host.size() - 2)));
  else
    Address = canonicalize(AF_INET, std::string(Host));
  if (!Address)
    return std::nullopt;
  return SocketAddress(*std::move(Address), *Port);
}

auto SocketAddress::isWildcard() const -> bool {
  return Address == "0.0.0.0" || Address == "::";
}

auto SocketAddress::overlaps(const SocketAddress &Other) const -> bool {
  return Port == Other.Port &&
         (Address == Other.Address || isWildcard() || Other.isWildcard());
}

auto SocketAddress::text() const -> std::string {
  auto Port = ":" + std::to_string(this->Port);
  if (Address.find(':') != std::string::npos)
    return "[" + Address + "]" + Port;
  return Address + Port;
}

} // namespace jayramp
