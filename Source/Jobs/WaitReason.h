#pragma once

#include <string>
#include <string_view>

namespace jayramp {

/// Reason why a job waits or has ended; the names match jayramp.v1.Reason.
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

/// Returns the name of the value in jayramp.v1.Reason, for example
/// "OVER_QUOTA".
auto toString(WaitReason Reason) -> std::string_view;

/// Reason for a wait or an end, with details and advice for the user.
struct WaitReport {
  WaitReason Reason = WaitReason::None;
  std::string Detail;
  std::string Remedy;

  auto operator==(const WaitReport &) const -> bool = default;
};

} // namespace jayramp
