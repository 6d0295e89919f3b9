#pragma once

#include "Requests/WorkClass.h"

#include <string>

namespace jayramp {

/// A request of an entry host for one slot.
struct SlotGrantRequest {
  std::string GrantId; ///< Equal in all repeats.
  std::string HolderHost;
  std::string HolderIncarnation;
  WorkClass Class = WorkClass::Short;
};

} // namespace jayramp
