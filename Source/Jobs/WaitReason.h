#pragma once

#include <string>
#include <string_view>

namespace jayramp {

/// Why a job waits or ended; the names match jayramp.v1.Reason.
enum class WaitReason {
  None,
  WaitingForCapacity,
  WaitingForAdjacentCapacity,
  WouldBreakGuarantee,
  OverQuota,
  Reclaiming,
  CanNeverRun,
  FailedOnDistinctWorkers,
  WorkerFailed,
  MemberLost,
  Cancelled,
};

/// Name as in jayramp.v1.Reason, for example "OVER_QUOTA".
auto toString(WaitReason Reason) -> std::string_view;

/// Reason with what the reader can do about it.
struct WaitReport {
  WaitReason Reason = WaitReason::None;
  std::string Detail;
  std::string Remedy;

  auto operator==(const WaitReport &) const -> bool = default;
};

} // namespace jayramp
