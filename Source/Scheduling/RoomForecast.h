#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayramp::scheduling {

class RunTimeModel;
struct CandidateWorker;
struct Run;
struct WorkerEntry;

/// Predicts when workers will have room, if nothing else is placed on them, by
/// what is known of run times and by the progress of their runs. Performs no
/// I/O and reads no clock.
class RoomForecast {
public:
  RoomForecast(const RunTimeModel &RunTimes, TimePoint Now)
      : RunTimes(RunTimes), Now(Now) {}

  /// Returns when a live run is expected to end, not before now; nothing if it
  /// has lasted so much longer than expected that no end can be named.
  auto expectedEnd(const Run &LiveRun, const WorkerEntry &Worker) const
      -> std::optional<TimePoint>;
  /// Returns when the worker will have room for one task that needs \p Need,
  /// for two, and so on: at most \p MaxCount times up to \p Until, in ascending
  /// order. Stopping runs count as ended.
  auto roomTimes(const CandidateWorker &Worker, const Resources &Need,
                 std::uint32_t MaxCount, TimePoint Until) const
      -> std::vector<TimePoint>;

private:
  const RunTimeModel &RunTimes;
  TimePoint Now;
};

} // namespace jayramp::scheduling
