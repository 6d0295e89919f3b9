#pragma once

#include <cstdint>
#include <sys/types.h>

namespace jayramp {

/// Resources that a process has used so far.
struct ProcessUsage {
  double CpuSeconds = 0;
  double ResidentMebibytes = 0;

  /// Reads /proc; zeros if the process is gone.
  static auto of(pid_t Process) -> ProcessUsage;
};

/// Bytes that the loopback interface has carried, packet headers included.
auto loopbackBytes() -> std::uint64_t;

} // namespace jayramp
