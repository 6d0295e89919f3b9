#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jayramp {

/// An IP address with a port.
class SocketAddress {
public:
  /// An empty address; settings need it as a placeholder.
  SocketAddress() = default;

  /// Reads "192.0.2.1:8080" or "[2001:db8::1]:8080". Host names are refused,
  /// because an entry host must start while name resolution is down.
  /// \returns nothing if the text is not an IP address with a port from 1 to
  /// 65535.
  static auto parse(std::string_view Text) -> std::optional<SocketAddress>;

  /// The IP address without brackets.
  auto address() const -> const std::string & { return Address; }
  auto port() const -> std::uint16_t { return Port; }

  /// True for 0.0.0.0 and ::, which can be listened on but not connected to.
  auto isWildcard() const -> bool;

  /// True if two listeners on these addresses would collide.
  auto overlaps(const SocketAddress &Other) const -> bool;

  /// "address:port", with brackets around an IPv6 address.
  auto text() const -> std::string;

  auto operator<=>(const SocketAddress &) const = default;

private:
  SocketAddress(std::string Address, std::uint16_t Port);

  std::string Address;
  std::uint16_t Port = 0;
};

} // namespace jayramp
