#pragma once

#include "Base/Clock.h"
#include "Shard/ProgressJournal.h"

#include <optional>

namespace jayramp::shard {

/// What one session has ordered for one run.
struct RunOrders {
  ProgressChange Assignment; ///< Must be durable before a start is sent.
  bool Recovered = false;    ///< Assigned by a previous owner.
  TimePoint PlacedAt;        ///< When this session learned of the run.
  unsigned StartsSent = 0;   ///< Those that may have reached the worker.
  unsigned StartAttempts = 0;
  unsigned StartsUnanswered = 0;
  bool StartInFlight = false;
  bool StopInFlight = false;
  TimePoint FirstStartAt; ///< When a start was attempted first.
  TimePoint NextStart;
  TimePoint NextStop;
  /// If set, the run has ended if a renewal sent at this time or later does
  /// not list it.
  std::optional<TimePoint> EndedIfUnlistedAfter;

  /// Returns whether no start of the run can have reached the worker.
  auto isNeverSent() const -> bool { return !Recovered && StartsSent == 0; }
  /// Returns whether the worker has answered all starts.
  auto areStartsAnswered() const -> bool {
    return StartsUnanswered == 0 && StartsSent == StartAttempts;
  }
};

} // namespace jayramp::shard
