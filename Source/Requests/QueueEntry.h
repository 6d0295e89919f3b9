#pragma once

#include "Base/Clock.h"
#include "Requests/WorkClass.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// A request that waits for a slot.
struct QueueEntry {
  std::uint64_t Id = 0; ///< Unique among the waiting entries.
  std::string Account;
  WorkClass Class = WorkClass::Short;
  TimePoint Deadline; ///< A slot after this time is useless.
  double Cost = 1.0;  ///< Expected slot time in any unit; above 0.

  auto operator==(const QueueEntry &) const -> bool = default;
};

} // namespace jayramp
