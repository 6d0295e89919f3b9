#include "Scheduling/RoomForecast.h"

#include "Scheduling/CandidateWorkers.h"
#include "Scheduling/JobEntry.h"
#include "Scheduling/Run.h"
#include "Scheduling/RunTimeModel.h"

#include <algorithm>
#include <utility>

namespace jayramp::scheduling {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double CompletePercent = 100.0;
/// A run that has lasted longer than this multiple of its expected time has no
/// predictable end.
constexpr double MaxOverrunFactor = 2.0;

} // namespace

auto RoomForecast::expectedEnd(const Run &LiveRun,
                               const WorkerEntry &Worker) const
    -> std::optional<TimePoint> {
  const Seconds Expected =
      RunTimes.expectedTime(LiveRun.Job->Spec, LiveRun.Id.Step) *
      Worker.TimeFactor;
  const auto Progress = LiveRun.ProgressPercent / CompletePercent;
  auto Total = Expected;
  // The progress shows how fast the run is here. It may have begun at a
  // checkpoint, which makes it look faster than it is.
  if (Progress > 0)
    Total = std::max<Seconds>(
        Expected, (LiveRun.LastProgressAt - LiveRun.StartedAt) / Progress);
  if (Now - LiveRun.StartedAt > Total * MaxOverrunFactor)
    return std::nullopt;
  const auto End =
      LiveRun.LastProgressAt +
      std::chrono::duration_cast<Clock::duration>(Total * (1.0 - Progress));
  return std::max(Now, End);
}

auto RoomForecast::roomTimes(const CandidateWorker &Worker,
                             const Resources &Need, std::uint32_t MaxCount,
                             TimePoint Until) const -> std::vector<TimePoint> {
  std::vector<std::pair<TimePoint, Resources>> Ends;
  for (const auto &[Id, LiveRun] : Worker.Worker->Runs) {
    if (LiveRun->Phase == RunPhase::Stopping)
      continue;
    const auto End = expectedEnd(*LiveRun, *Worker.Worker);
    if (End && *End <= Until)
      Ends.emplace_back(*End, LiveRun->Job->Spec.Steps[Id.Step].Need);
  }
  std::sort(Ends.begin(), Ends.end(), [](const auto &Left, const auto &Right) {
    return Left.first < Right.first;
  });
  auto Available = Worker.FreeAfterStops;
  std::vector<TimePoint> Times(std::min(Available.maxTaskCount(Need), MaxCount),
                               Now);
  for (const auto &[End, Freed] : Ends) {
    Available += Freed;
    Times.resize(std::clamp<std::size_t>(Available.maxTaskCount(Need),
                                         Times.size(), MaxCount),
                 End);
  }
  return Times;
}

} // namespace jayramp::scheduling
