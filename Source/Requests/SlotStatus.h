#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// The part of a worker's status that concerns slots.
struct SlotStatus {
  std::string Worker;
  std::uint32_t Slots = 0;
  std::uint32_t SlotsUsed = 0;
  bool Leaving = false;
  TimePoint RequestedAt; ///< Time at which the status call was sent.
};

} // namespace jayramp
