#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// Slot usage as reported in a worker's status.
struct SlotStatus {
  std::string Worker;
  std::uint32_t Slots = 0; ///< Total.
  std::uint32_t SlotsUsed = 0;
  bool Leaving = false;
  TimePoint RequestedAt; ///< When the status call was sent.
};

} // namespace jayramp
