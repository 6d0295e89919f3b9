#pragma once

#include "Base/Clock.h"
#include "Requests/WorkClass.h"

#include <cstdint>
#include <string>
#include <variant>

namespace jayramp {

/// One slot of a worker, granted to an entry host until it is released.
struct SlotGrant {
  std::string GrantId;
  std::string Worker;
  std::string WorkerAddress;
  std::uint64_t Epoch = 0; ///< View version; sent with the call to the worker.
  std::string HolderHost;
  std::string HolderIncarnation;
  WorkClass Class = WorkClass::Short;
  TimePoint GrantedAt;

  auto operator==(const SlotGrant &) const -> bool = default;
};

/// Every slot of the usable workers is in use.
struct SlotsAllInUse {};

/// Slots are free, but long work already uses as many as it may.
struct SlotLongLimitReached {};

/// No worker is usable: this host owns none, or all of them are leaving, have
/// an open circuit or have not sent a status since this host took them over.
struct SlotNoUsableWorker {};

/// Result of a request for a slot.
using SlotDecision = std::variant<SlotGrant, SlotsAllInUse,
                                  SlotLongLimitReached, SlotNoUsableWorker>;

} // namespace jayramp
