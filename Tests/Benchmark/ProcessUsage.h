#pragma once

#include <cstdint>
#include <sys/types.h>

namespace jayramp {

/// Resources used by a process since its start.
struct ProcessUsage {
  double CpuSeconds = 0;
  double ResidentMebibytes = 0;

  /// Reads the usage of \p Process from /proc. Returns zeros if the process has
  /// ended.
  static auto read(pid_t Process) -> ProcessUsage;
};

/// Returns the bytes that the loopback interface has carried so far, packet
/// headers included; 0 if /proc/net/dev has no such interface.
auto readLoopbackBytes() -> std::uint64_t;

} // namespace jayramp
