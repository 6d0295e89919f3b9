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
  /// end lasts until \p NowMs, and the runs that start although the worker of
  /// an earlier run was told that its end as `done` is known.
  static auto findings(const std::vector<review::RunHistory::Entry> &Runs,
                       std::int64_t NowMs) -> std::vector<std::string>;
};

} // namespace jayramp::platform_test
