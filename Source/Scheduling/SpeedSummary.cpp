#include "Scheduling/SpeedSummary.h"

#include <algorithm>
#include <cstdlib>

namespace jayramp::scheduling {

namespace {

/// Smallest noticeable difference of the logarithm, in hundredths.
constexpr std::int32_t NoticeableLogCents = 10;

} // namespace

auto SpeedSummary::differsNoticeably(const SpeedSummary &Other) const -> bool {
  return !std::equal(
      Entries.begin(), Entries.end(), Other.Entries.begin(),
      Other.Entries.end(), [](const Entry &Left, const Entry &Right) {
        return Left.Level == Right.Level && Left.Group == Right.Group &&
               std::abs(Left.LogCents - Right.LogCents) < NoticeableLogCents;
      });
}

} // namespace jayramp::scheduling
