#include "Jobs/AcceleratorPool.h"

#include <algorithm>

namespace jayramp {

auto AcceleratorPool::make(std::uint32_t Accelerators) -> AcceleratorPool {
  AcceleratorPool Pool;
  Pool.Holders.assign(Accelerators, NoJob);
  Pool.Reservations.assign(Accelerators, NoJob);
  Pool.Usable.assign(Accelerators, 1);
  return Pool;
}

auto AcceleratorPool::freeCount() const -> std::uint32_t {
  std::uint32_t Count = 0;
  for (std::uint32_t Index = 0; Index < size(); ++Index)
    Count += isFree(Index) ? 1 : 0;
  return Count;
}

auto AcceleratorPool::noneIsHeld(
    const std::vector<std::uint32_t> &Accelerators) const -> bool {
  return std::all_of(Accelerators.begin(), Accelerators.end(),
                     [this](auto Index) { return Holders[Index] == NoJob; });
}

auto AcceleratorPool::hold(const std::vector<std::uint32_t> &Accelerators,
                           JobKey Job) -> void {
  for (auto Index : Accelerators)
    Holders[Index] = Job;
}

auto AcceleratorPool::release(const std::vector<std::uint32_t> &Accelerators,
                              JobKey Job) -> void {
  for (auto Index : Accelerators)
    if (Holders[Index] == Job)
      Holders[Index] = NoJob;
}

auto AcceleratorPool::reserve(const std::vector<std::uint32_t> &Accelerators,
                              JobKey Job) -> void {
  for (auto Index : Accelerators)
    Reservations[Index] = Job;
}

auto AcceleratorPool::cancelReservation(
    const std::vector<std::uint32_t> &Accelerators, JobKey Job) -> void {
  for (auto Index : Accelerators)
    if (Reservations[Index] == Job)
      Reservations[Index] = NoJob;
}

} // namespace jayramp
