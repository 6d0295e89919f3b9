#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jayramp::scheduling {
class ShardScheduler;
}

namespace jayramp::shard {

/// Time until waiting tasks have found room if all of the pool serves them.
struct RoomWait {
  /// The tasks of a priority that can still meet their objectives, and all
  /// useful ones of more urgent priorities. They go before a new job.
  Milliseconds OnTime{0};
  /// All tasks of this or a more urgent priority whose results still have value
  /// for the client.
  Milliseconds Useful{0};

  auto operator==(const RoomWait &) const -> bool = default;
};

/// What the owner of a shard expects for jobs that are submitted now.
struct AdmissionForecast {
  /// By priority. Priorities at which nothing waits may be missing.
  std::map<std::uint32_t, RoomWait> RoomWaits;
  /// By client account: part of the backlog of a priority that goes before a
  /// new job of the account, from 0 to 1. It is larger for an account that has
  /// more work waiting; those without any may be missing.
  std::map<std::string, double> BacklogShares;

  /// Returns the wait at \p Priority.
  auto roomWait(std::uint32_t Priority) const -> RoomWait;
  /// Returns the wait of a new job of \p Account at \p Priority.
  auto roomWaitOf(const std::string &Account, std::uint32_t Priority) const
      -> RoomWait;
  /// Returns the time until the useful tasks of more urgent priorities than
  /// \p Priority have found room.
  auto moreUrgentWait(std::uint32_t Priority) const -> Milliseconds;

  auto operator==(const AdmissionForecast &) const -> bool = default;
};

/// Makes the forecasts of a shard's owner from the tasks that wait and from how
/// fast tasks have found room recently. Performs no I/O and reads no clock.
class AdmissionForecaster {
public:
  /// Returns the forecast at \p Now; nothing until the pace at which tasks find
  /// room has been observed for a while. Called at intervals.
  auto forecast(const scheduling::ShardScheduler &Scheduler, TimePoint Now)
      -> std::optional<AdmissionForecast>;

private:
  /// Observes how much work has found room since the last call.
  auto updatePace(const scheduling::ShardScheduler &Scheduler, TimePoint Now)
      -> void;

  std::optional<TimePoint> ObservedSince;
  TimePoint UpdatedAt;
  double PlacedWork = 0; ///< In core-seconds, at the last update.
  double Pace = 0;       ///< Recent core-seconds a second.
};

} // namespace jayramp::shard
