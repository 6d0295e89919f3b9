#pragma once

#include "Base/Clock.h"
#include "Scheduling/SpeedSummary.h"

#include <optional>

namespace jayramp::shard {

/// Decides when an owner stores what it has learned of the speeds of workers.
/// Performs no I/O and reads no clock.
class SpeedRowSchedule {
public:
  // Commands.

  /// Records what the row held when this owner took over, as read at \p Now.
  auto recordStored(scheduling::SpeedSummary Found, TimePoint Now) -> void;
  /// Returns \p Known if it is to be written with the write that is made at
  /// \p Now. While nothing is known, the row stays as it is.
  auto takeDue(const std::optional<scheduling::SpeedSummary> &Known,
               TimePoint Now) -> std::optional<scheduling::SpeedSummary>;
  /// Records that the write for which takeDue() was called last has succeeded.
  auto confirmWrite() -> void;

private:
  scheduling::SpeedSummary Stored;
  std::optional<scheduling::SpeedSummary> InWrite;
  TimePoint NextWrite; ///< Nothing is due before this time.
};

} // namespace jayramp::shard
