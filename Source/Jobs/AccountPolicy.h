#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// A guarantee of Count blocks of Accelerators adjacent accelerators.
struct GuaranteedCapacity {
  std::uint32_t Accelerators = 0;
  std::uint32_t Count = 0;

  auto operator==(const GuaranteedCapacity &) const -> bool = default;
};

/// What one client account may use.
struct AccountPolicy {
  std::string Name;
  std::vector<GuaranteedCapacity> Guarantees;
  /// Accelerators that the account may hold when a surplus gang of it starts,
  /// guaranteed holdings included; 0: no limit.
  std::uint32_t AcceleratorQuota = 0;

  auto operator==(const AccountPolicy &) const -> bool = default;

  auto guaranteedTotal() const -> std::uint32_t {
    std::uint32_t Total = 0;
    for (const auto &Shape : Guarantees)
      Total += Shape.Accelerators * Shape.Count;
    return Total;
  }
};

} // namespace jayramp
