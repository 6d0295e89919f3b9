#pragma once

#include "Jobs/JobRecord.h"

#include <cstdint>
#include <vector>

namespace jayramp {

/// Records which job holds each accelerator and for which job it is reserved.
/// An accelerator may be both held and reserved while its holder is being
/// stopped.
class AcceleratorPool {
public:
  static constexpr JobKey NoJob = 0;

  /// Creates a pool in which all accelerators are usable and free.
  static auto make(std::uint32_t Accelerators) -> AcceleratorPool;

  auto size() const -> std::uint32_t {
    return static_cast<std::uint32_t>(Holders.size());
  }
  /// Returns the job that holds the accelerator, or NoJob.
  auto holder(std::uint32_t Accelerator) const -> JobKey {
    return Holders[Accelerator];
  }
  /// Returns the job that has reserved the accelerator, or NoJob.
  auto reservedFor(std::uint32_t Accelerator) const -> JobKey {
    return Reservations[Accelerator];
  }
  auto isUsable(std::uint32_t Accelerator) const -> bool {
    return Usable[Accelerator] != 0;
  }
  /// Returns 1 for each accelerator that may be used, else 0.
  auto usable() const -> const std::vector<std::uint8_t> & { return Usable; }
  auto isFree(std::uint32_t Accelerator) const -> bool {
    return Holders[Accelerator] == NoJob &&
           Reservations[Accelerator] == NoJob && Usable[Accelerator] != 0;
  }
  /// Returns the number of accelerators that are usable, not held and not
  /// reserved.
  auto freeCount() const -> std::uint32_t;
  /// Returns true if none of the accelerators is held.
  auto noneIsHeld(const std::vector<std::uint32_t> &Accelerators) const -> bool;

  /// Records the job as the holder. The accelerators must not be held.
  auto hold(const std::vector<std::uint32_t> &Accelerators, JobKey Job) -> void;
  /// Releases those of the accelerators that the job holds.
  auto release(const std::vector<std::uint32_t> &Accelerators, JobKey Job)
      -> void;
  auto reserve(const std::vector<std::uint32_t> &Accelerators, JobKey Job)
      -> void;
  /// Cancels those reservations that belong to the job.
  auto cancelReservation(const std::vector<std::uint32_t> &Accelerators,
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
