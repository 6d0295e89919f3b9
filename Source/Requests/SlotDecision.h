#pragma once

#include "Base/Clock.h"
#include "Requests/WorkClass.h"

#include <cstdint>
#include <string>
#include <variant>

namespace jayramp {

/// One slot of a worker, held by an entry host until release.
struct SlotGrant {
  std::string GrantId;
  std::string Worker;
  std::string WorkerAddress;
  std::uint64_t Epoch = 0; ///< To be sent with the call to the worker.
  std::string HolderHost;
  std::string HolderIncarnation;
  WorkClass Class = WorkClass::Short;
  TimePoint GrantedAt;

  auto operator==(const SlotGrant &) const -> bool = default;
};

/// All slots of the usable workers are in use.
struct SlotsAllInUse {};

/// Slots are free, but long work already holds its share.
struct SlotLongLimitReached {};

/// No worker is usable: none is owned, all are leaving, ejected or without a
/// first status since the takeover.
struct SlotNoUsableWorker {};

using SlotDecision = std::variant<SlotGrant, SlotsAllInUse,
                                  SlotLongLimitReached, SlotNoUsableWorker>;

} // namespace jayramp
