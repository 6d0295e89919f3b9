#pragma once

#include <cstddef>

namespace jayramp::net {

/// Limits on all connections of one server together.
struct ConnectionLimits {
  std::size_t MaxConnections = 1024;
  /// Bytes that messages, read buffers and pending responses take. Each
  /// connection may exceed it by GuaranteedBytes, so that small requests are
  /// read while others hold everything.
  std::size_t MaxHeldBytes = std::size_t{32} << 20U;
  static constexpr std::size_t GuaranteedBytes = 8192;
  /// What a refused client may still send while it gets the refusal; it is not
  /// kept.
  std::size_t MaxLingerBytes = std::size_t{1} << 20U;
  /// Connections that wait in the kernel until they are accepted. Beyond, the
  /// client's kernel tries again after a second.
  int ListenBacklog = 1024;
  /// Size of the buffers of each socket; 0 leaves those of the system.
  int SocketBufferBytes = 0;

  auto operator==(const ConnectionLimits &) const -> bool = default;
};

} // namespace jayramp::net
