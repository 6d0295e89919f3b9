#pragma once

#include "Base/Clock.h"

namespace jayramp {

/// Returns the time since the host was booted, including the time for which it
/// was suspended.
auto suspendAwareNow() -> Milliseconds;

} // namespace jayramp
