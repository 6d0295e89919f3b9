#pragma once

#include "Base/Clock.h"
#include "Requests/WorkClass.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// A request waiting in a FairQueue for a slot.
struct QueueEntry {
  std::uint64_t Id = 0; ///< Unique among the queued entries.
  std::string Account;
  WorkClass Class = WorkClass::Short;
  TimePoint Deadline; ///< Latest useful start; the entry expires then.
  double Cost = 1.0;  ///< Expected time in a slot, above 0; any unit.

  auto operator==(const QueueEntry &) const -> bool = default;
};

} // namespace jayramp
