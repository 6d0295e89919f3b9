#pragma once

#include "Requests/WorkClass.h"

#include <string>

namespace jayramp {

/// Request of an entry host for one slot of a worker.
struct SlotGrantRequest {
  std::string GrantId; ///< Chosen by the requester; repeats keep it.
  std::string HolderHost;
  std::string HolderIncarnation;
  WorkClass Class = WorkClass::Short;
};

} // namespace jayramp
