#pragma once

#include "Base/Clock.h"
#include "Jobs/AcceleratorPlace.h"
#include "Jobs/WaitReason.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jayramp {

/// Start attempt \p Attempt of the whole gang on these accelerators, all of
/// which are free. The scheduler treats the gang as running from this decision
/// on.
struct StartGang {
  std::string Job;
  std::uint32_t Attempt = 0;
  std::vector<AcceleratorPlace> Placement;
  /// True if the gang uses the guarantee of its account and is not reclaimable
  /// (lease of 10 s); false for surplus use (lease of 4 s).
  bool Guaranteed = false;

  auto operator==(const StartGang &) const -> bool = default;
};

/// Identifies an attempt of a gang to stop.
struct GangAttempt {
  std::string Job;
  std::uint32_t Attempt = 0;

  auto operator==(const GangAttempt &) const -> bool = default;
};

/// Stop the victims by the reclaim sequence. The placement stays reserved for
/// \p Job, which a later StartGang starts after recordGangStopped() or
/// recordTaskEnd() has reported the end of every gang on it. Victims is empty
/// if all gangs on the placement are already being stopped.
struct ReclaimGangs {
  std::string Job;
  std::uint32_t Attempt = 0; ///< Attempt number of the later StartGang.
  std::vector<AcceleratorPlace> Placement;
  std::vector<GangAttempt> Victims;
  bool Guaranteed = false;

  auto operator==(const ReclaimGangs &) const -> bool = default;
};

/// Stop all tasks of the gang that still run, then call recordGangStopped().
struct StopGang {
  std::string Job;
  std::uint32_t Attempt = 0;
  WaitReason Reason = WaitReason::None;
  std::string Detail;

  auto operator==(const StopGang &) const -> bool = default;
};

/// Final outcome of a job.
enum class JobOutcome { Succeeded, Failed, Cancelled, Rejected };

/// The job is final and none of its tasks run; the scheduler has removed it.
struct EndJob {
  std::string Job;
  JobOutcome Outcome = JobOutcome::Failed;
  WaitReport Report;

  auto operator==(const EndJob &) const -> bool = default;
};

/// Report that the worker gets no new placements for \p Duration; gangs that
/// run on it continue.
struct QuarantineWorker {
  std::string Worker;
  Milliseconds Duration{0};
  std::vector<std::string> FailedJobs; ///< Jobs that caused the quarantine.

  auto operator==(const QuarantineWorker &) const -> bool = default;
};

/// An action that the caller of JobScheduler::decide() must carry out.
using Decision =
    std::variant<StartGang, ReclaimGangs, StopGang, EndJob, QuarantineWorker>;

} // namespace jayramp
