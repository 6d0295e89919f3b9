#pragma once

#include "standins/RunHistory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp::platform_test {

/// Rules that the runs of each task keep.
class RunRules {
public:
  /// Returns the pairs of runs of one task that overlap, where a run without an
  /// end lasts until \p NowMs, and the runs that start after the end of an
  /// earlier run as `done`, if its worker was told before or later that this
  /// end is known. Not if the worker's lease lapsed in between.
  static auto findings(const std::vector<review::RunHistory::Entry> &Runs,
                       std::int64_t NowMs) -> std::vector<std::string>;
};

} // namespace jayramp::platform_test
