#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// Guarantee of Count shapes, each with Accelerators adjacent accelerators.
struct GuaranteedCapacity {
  std::uint32_t Accelerators = 0;
  std::uint32_t Count = 0;

  auto operator==(const GuaranteedCapacity &) const -> bool = default;
};

/// Guarantees and quota of a client account.
struct AccountPolicy {
  std::string Name;
  std::vector<GuaranteedCapacity> Guarantees;
  /// Maximum number of accelerators that the account may hold when one of its
  /// surplus gangs starts, including those of guaranteed gangs; 0 means no
  /// limit.
  std::uint32_t AcceleratorQuota = 0;

  auto operator==(const AccountPolicy &) const -> bool = default;

  /// Returns the number of accelerators in all guarantees.
  auto guaranteedAccelerators() const -> std::uint32_t {
    std::uint32_t Total = 0;
    for (const auto &Shape : Guarantees)
      Total += Shape.Accelerators * Shape.Count;
    return Total;
  }
};

} // namespace jayramp
