#pragma once

#include "Jobs/JobRecord.h"

#include <cstdint>
#include <vector>

namespace jayramp {

/// Who holds each accelerator, and for whom it is reserved. A reservation may
/// exist beside a holder that is being stopped.
class AcceleratorPool {
public:
  static constexpr JobKey NoJob = 0;

  static auto make(std::uint32_t Accelerators) -> AcceleratorPool;

  auto size() const -> std::uint32_t {
    return static_cast<std::uint32_t>(Holders.size());
  }
  auto holder(std::uint32_t Accelerator) const -> JobKey {
    return Holders[Accelerator];
  }
  auto reservedFor(std::uint32_t Accelerator) const -> JobKey {
    return Reservations[Accelerator];
  }
  auto isUsable(std::uint32_t Accelerator) const -> bool {
    return Usable[Accelerator] != 0;
  }
  auto usable() const -> const std::vector<std::uint8_t> & { return Usable; }
  auto isFree(std::uint32_t Accelerator) const -> bool {
    return Holders[Accelerator] == NoJob &&
           Reservations[Accelerator] == NoJob && Usable[Accelerator] != 0;
  }
  auto freeCount() const -> std::uint32_t;
  /// True if no gang holds any of them.
  auto noneHeld(const std::vector<std::uint32_t> &Accelerators) const -> bool;

  /// The accelerators must not be held.
  auto hold(const std::vector<std::uint32_t> &Accelerators, JobKey Job) -> void;
  auto release(const std::vector<std::uint32_t> &Accelerators, JobKey Job)
      -> void;
  auto reserve(const std::vector<std::uint32_t> &Accelerators, JobKey Job)
      -> void;
  auto endReservation(const std::vector<std::uint32_t> &Accelerators,
                      JobKey Job) -> void;
  auto setUsable(std::uint32_t Accelerator, bool Value) -> void {
    Usable[Accelerator] = Value ? 1 : 0;
  }

private:
  AcceleratorPool() = default;

  std::vector<JobKey> Holders;
  std::vector<JobKey> Reservations;
  std::vector<std::uint8_t> Usable;
};

} // namespace jayramp
