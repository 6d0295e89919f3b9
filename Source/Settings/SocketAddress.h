#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jayramp {

/// An IP address and a port.
class SocketAddress {
public:
  /// Creates an empty address with port 0, the value of a setting that has not
  /// been loaded.
  SocketAddress() = default;

  /// Parses text such as "192.0.2.1:8080" or "[2001:db8::1]:8080". Host names
  /// are not accepted, because an entry host must be able to start while name
  /// resolution is unavailable.
  /// \returns the address, or nothing if \p Text is not an IP address with a
  /// port from 1 to 65535.
  static auto parse(std::string_view Text) -> std::optional<SocketAddress>;

  /// Returns the IP address without brackets.
  auto address() const -> const std::string & { return Address; }
  auto port() const -> std::uint16_t { return Port; }

  /// Returns true for 0.0.0.0 and ::, which are valid for a listener but not as
  /// the destination of a connection.
  auto isWildcard() const -> bool;

  /// Returns true if listeners on both addresses cannot exist at the same time.
  auto overlaps(const SocketAddress &Other) const -> bool;

  /// Returns "address:port", with brackets around an IPv6 address.
  auto text() const -> std::string;

  auto operator<=>(const SocketAddress &) const = default;

private:
  SocketAddress(std::string Address, std::uint16_t Port);

  std::string Address;
  std::uint16_t Port = 0;
};

} // namespace jayramp
