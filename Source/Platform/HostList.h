#pragma once

#include "Base/Result.h"
#include "Platform/ListedHost.h"

#include <vector>

namespace jayramp {

/// Port to the platform's host list, which lags behind the truth. Calls block.
class HostList {
public:
  virtual ~HostList() = default;

  virtual auto hosts() -> Result<std::vector<ListedHost>> = 0;
};

} // namespace jayramp
