#pragma once

#include "Base/Result.h"
#include "Platform/ListedHost.h"

#include <vector>

namespace jayramp {

/// Interface to the platform's host list, which is updated with a delay and may
/// be out of date. Calls block.
class HostList {
public:
  virtual ~HostList() = default;

  /// Returns all listed hosts, or Unavailable if the list cannot be read.
  virtual auto hosts() -> Result<std::vector<ListedHost>> = 0;
};

} // namespace jayramp
