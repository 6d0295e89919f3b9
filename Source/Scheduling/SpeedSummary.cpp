#include "Scheduling/SpeedSummary.h"

#include <boost/crc.hpp>

#include <algorithm>
#include <cstdlib>

namespace jayramp::scheduling {

namespace {

/// Smallest noticeable differences of the logarithm, in hundredths.
constexpr std::int32_t NoticeableLogCents = 10;
constexpr std::int32_t NoticeableWorkerLogCents = 25;
/// Changes of up to one in this many slow workers are not noticeable.
constexpr std::size_t WorkersPerIgnoredChange = 16;

using WorkerFactors = std::map<std::uint32_t, std::int32_t>;

/// Returns how many workers are not in \p Other with about the same factor.
auto countMissing(const WorkerFactors &Workers, const WorkerFactors &Other)
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Workers.begin(), Workers.end(), [&Other](const auto &Each) {
        const auto Found = Other.find(Each.first);
        return Found == Other.end() || std::abs(Found->second - Each.second) >=
                                           NoticeableWorkerLogCents;
      }));
}

} // namespace

auto SpeedSummary::workerHash(const std::string &Id) -> std::uint32_t {
  boost::crc_32_type Checksum;
  Checksum.process_bytes(Id.data(), Id.size());
  return Checksum.checksum();
}

auto SpeedSummary::differsNoticeably(const SpeedSummary &Other) const -> bool {
  const auto Changes = std::max(countMissing(SlowWorkers, Other.SlowWorkers),
                                countMissing(Other.SlowWorkers, SlowWorkers));
  if (Changes * WorkersPerIgnoredChange >
      std::max(SlowWorkers.size(), Other.SlowWorkers.size()))
    return true;
  return !std::equal(
      Groups.begin(), Groups.end(), Other.Groups.begin(), Other.Groups.end(),
      [](const Group &Left, const Group &Right) {
        return Left.Level == Right.Level && Left.Name == Right.Name &&
               std::abs(Left.LogCents - Right.LogCents) < NoticeableLogCents;
      });
}

} // namespace jayramp::scheduling
