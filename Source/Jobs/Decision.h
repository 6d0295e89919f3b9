#pragma once

#include "Base/Clock.h"
#include "Jobs/AcceleratorPlace.h"
#include "Jobs/WaitReason.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jayramp {

/// Start attempt \p Attempt of a gang, whole, at these places. All of them are
/// free. The scheduler counts the gang as running from now on.
struct StartGang {
  std::string Job;
  std::uint32_t Attempt = 0;
  std::vector<AcceleratorPlace> Placement;
  /// True if the gang uses its account's guarantee and is not reclaimable
  /// (lease of 10 s); false for surplus use (lease of 4 s).
  bool Guaranteed = false;

  auto operator==(const StartGang &) const -> bool = default;
};

/// A gang to stop, with the attempt that is meant.
struct GangAttempt {
  std::string Job;
  std::uint32_t Attempt = 0;

  auto operator==(const GangAttempt &) const -> bool = default;
};

/// Run the reclaim sequence on the victims. \p Job keeps the placement reserved
/// and is started by a later StartGang, once recordGangStopped() or
/// recordTaskEnd() has reported the end of every gang on it. Victims is empty
/// if all gangs on the placement are already being stopped.
struct ReclaimGangs {
  std::string Job;
  std::uint32_t Attempt = 0; ///< That the later StartGang will have.
  std::vector<AcceleratorPlace> Placement;
  std::vector<GangAttempt> Victims;
  bool Guaranteed = false;

  auto operator==(const ReclaimGangs &) const -> bool = default;
};

/// Stop what still runs of a gang, then call recordGangStopped().
struct StopGang {
  std::string Job;
  std::uint32_t Attempt = 0;
  WaitReason Reason = WaitReason::None;
  std::string Detail;

  auto operator==(const StopGang &) const -> bool = default;
};

enum class JobOutcome { Succeeded, Failed, Cancelled, Rejected };

/// The job is final and nothing of it runs; the scheduler has forgotten it.
struct EndJob {
  std::string Job;
  JobOutcome Outcome = JobOutcome::Failed;
  WaitReport Report;

  auto operator==(const EndJob &) const -> bool = default;
};

/// Place nothing new on the worker for \p Duration; running gangs go on.
struct QuarantineWorker {
  std::string Worker;
  Milliseconds Duration{0};
  std::vector<std::string> FailedJobs;

  auto operator==(const QuarantineWorker &) const -> bool = default;
};

using Decision =
    std::variant<StartGang, ReclaimGangs, StopGang, EndJob, QuarantineWorker>;

} // namespace jayramp
