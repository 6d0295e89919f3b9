#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace jayramp::scheduling {

/// Amounts of what a worker has and a task needs.
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

  /// Whether \p Need is available in these amounts.
  auto covers(const Resources &Need) const -> bool {
    return CpuMillis >= Need.CpuMillis && MemoryMb >= Need.MemoryMb &&
           Gpus >= Need.Gpus;
  }

  /// How many tasks of this \p Need are available at once.
  auto maxTaskCount(const Resources &Need) const -> std::uint32_t {
    std::int64_t Times = std::numeric_limits<std::uint16_t>::max();
    if (Need.CpuMillis > 0)
      Times = std::min(Times, CpuMillis / Need.CpuMillis);
    if (Need.MemoryMb > 0)
      Times = std::min(Times, MemoryMb / Need.MemoryMb);
    if (Need.Gpus > 0)
      Times = std::min(Times, Gpus / Need.Gpus);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(Times, 0));
  }

  /// Amounts as cores for comparing work; an accelerator counts as 8 cores.
  auto coreEquivalents() const -> double {
    constexpr double CoresPerGpu = 8.0;
    constexpr double MillisPerCore = 1000.0;
    return static_cast<double>(CpuMillis) / MillisPerCore +
           CoresPerGpu * static_cast<double>(Gpus);
  }
};

/// The smaller amount of each resource.
inline auto componentwiseMin(const Resources &Left, const Resources &Right)
    -> Resources {
  return {std::min(Left.CpuMillis, Right.CpuMillis),
          std::min(Left.MemoryMb, Right.MemoryMb),
          std::min(Left.Gpus, Right.Gpus)};
}

} // namespace jayramp::scheduling
