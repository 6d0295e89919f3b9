#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace jayramp::scheduling {

/// Amounts of the resources that a worker offers or a task needs.
struct Resources {
  std::int64_t CpuMillis = 0; ///< Thousandths of a processor core.
  std::int64_t MemoryMb = 0;
  std::int64_t Gpus = 0;

  auto operator==(const Resources &) const -> bool = default;

  auto operator+=(const Resources &Other) -> Resources & {
    CpuMillis += Other.CpuMillis;
    MemoryMb += Other.MemoryMb;
    Gpus += Other.Gpus;
    return *this;
  }
  auto operator-=(const Resources &Other) -> Resources & {
    CpuMillis -= Other.CpuMillis;
    MemoryMb -= Other.MemoryMb;
    Gpus -= Other.Gpus;
    return *this;
  }

  auto operator*(std::int64_t Factor) const -> Resources {
    return {CpuMillis * Factor, MemoryMb * Factor, Gpus * Factor};
  }

  /// Returns whether these amounts suffice for \p Need.
  auto covers(const Resources &Need) const -> bool {
    return CpuMillis >= Need.CpuMillis && MemoryMb >= Need.MemoryMb &&
           Gpus >= Need.Gpus;
  }

  /// Returns how many tasks that need \p Need each fit into these amounts at
  /// the same time, at most 65535.
  auto maxTaskCount(const Resources &Need) const -> std::uint32_t {
    std::int64_t Count = std::numeric_limits<std::uint16_t>::max();
    if (Need.CpuMillis > 0)
      Count = std::min(Count, CpuMillis / Need.CpuMillis);
    if (Need.MemoryMb > 0)
      Count = std::min(Count, MemoryMb / Need.MemoryMb);
    if (Need.Gpus > 0)
      Count = std::min(Count, Gpus / Need.Gpus);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(Count, 0));
  }

  /// Returns the processor cores plus 8 cores for each accelerator, as a single
  /// figure for comparing amounts of work. Memory is ignored.
  auto coreEquivalents() const -> double {
    constexpr double CoresPerGpu = 8.0;
    constexpr double MillisPerCore = 1000.0;
    return static_cast<double>(CpuMillis) / MillisPerCore +
           CoresPerGpu * static_cast<double>(Gpus);
  }
};

/// Returns the smaller amount of each resource.
inline auto componentwiseMin(const Resources &Left, const Resources &Right)
    -> Resources {
  return {std::min(Left.CpuMillis, Right.CpuMillis),
          std::min(Left.MemoryMb, Right.MemoryMb),
          std::min(Left.Gpus, Right.Gpus)};
}

} // namespace jayramp::scheduling
