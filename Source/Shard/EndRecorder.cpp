#include "Shard/EndRecorder.h"

#include "Base/EventLog.h"
#include "Shard/SessionContext.h"

#include <algorithm>
#include <utility>

namespace jayramp::shard {

namespace {

/// A worker with an end that must not be acknowledged gets no new tasks, so
/// that its leases expire; renewed at each reply, which comes earlier.
constexpr Milliseconds WithheldEndPause{1000};

} // namespace

EndRecorder::EndRecorder(SessionContext &SharedContext, std::string Worker)
    : SharedContext(SharedContext), Worker(std::move(Worker)),
      Ends(SharedContext.Journal) {}

auto EndRecorder::record(const std::vector<ReportedEnd> &Ended, bool LeasesOver)
    -> bool {
  releaseWithheld(Ended, LeasesOver);
  bool HasNewEnds = false;
  for (const auto &End : Ended) {
    if (Ends.isRecorded(End.Number)) {
      Ends.recordRepeated(End.Number);
      continue;
    }
    HasNewEnds = true;
    const bool MayBeAcknowledged = SharedContext.Scheduler.runEnded(
        End.Run, End.Outcome, End.Checkpoint, Clock::now());
    if (!MayBeAcknowledged && !LeasesOver)
      withhold(End);
    logEvent(LogLevel::Info, "task-ended",
             {{"run", toString(End.Run)},
              {"worker", Worker},
              {"how", std::to_string(static_cast<int>(End.Outcome))}});
    Ends.record(End.Number, SharedContext.Journal.latestChange(End.Run.Job));
  }
  return HasNewEnds;
}

auto EndRecorder::onNewIncarnation() -> void {
  if (Ends.withheldEnd())
    logRelease("restarted");
  Ends = EndAcknowledgement(SharedContext.Journal);
}

auto EndRecorder::withhold(const ReportedEnd &End) -> void {
  logEvent(LogLevel::Warning, "end-withheld",
           {{"run", toString(End.Run)}, {"worker", Worker}});
  if (!Ends.withheldEnd())
    WithheldSince = Clock::now();
  Ends.withhold({End.Number, End.Run.Job});
  pauseWorker();
}

auto EndRecorder::releaseWithheld(const std::vector<ReportedEnd> &Ended,
                                  bool LeasesOver) -> void {
  const auto &Withheld = Ends.withheldEnd();
  if (!Withheld)
    return;
  // An end that precedes the expiry of the worker's leases does not count as
  // known. A job that was forgotten is not shown to anyone any more.
  const bool LeasesExpiredSince =
      LeasesOver ||
      std::any_of(Ended.begin(), Ended.end(), [&](const ReportedEnd &End) {
        return End.Number > Withheld->Number &&
               End.Outcome == scheduling::RunOutcome::LeaseExpired;
      });
  if (LeasesExpiredSince || !SharedContext.Scheduler.job(Withheld->Job)) {
    logRelease(LeasesExpiredSince ? "lease-expired" : "job-forgotten");
    Ends.release();
    return;
  }
  pauseWorker();
}

auto EndRecorder::pauseWorker() const -> void {
  SharedContext.Scheduler.pauseWorkerUntil(Worker,
                                           Clock::now() + WithheldEndPause);
}

auto EndRecorder::logRelease(std::string_view Reason) const -> void {
  const auto Withheld =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - WithheldSince);
  logEvent(LogLevel::Info, "end-released",
           {{"worker", Worker},
            {"reason", std::string(Reason)},
            {"withheld-ms", std::to_string(Withheld.count())}});
}

} // namespace jayramp::shard
