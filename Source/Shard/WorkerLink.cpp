#include "Shard/WorkerLink.h"

#include "Base/EventLog.h"
#include "Base/SuspendAwareClock.h"
#include "Shard/SessionContext.h"
#include "Shard/WorkerRegistry.h"

#include <algorithm>
#include <utility>

namespace jayramp::shard {

namespace {

/// Clocks are read in whole milliseconds and may be ahead by a few. Far below
/// the margin that leases have.
constexpr Milliseconds ClockReadingTolerance{100};

} // namespace

using scheduling::RunId;
using namespace life_event;

WorkerLink::WorkerLink(SessionContext &SharedContext, std::string Worker,
                       std::optional<TimePoint> PredecessorLeasesExpireAt)
    : SharedContext(SharedContext),
      SessionNumber(++SharedContext.LastSessionNumber),
      Worker(std::move(Worker)), Leases(SharedContext.Settings.LeaseDuration,
                                        SharedContext.Settings.MaxLeaseDuration,
                                        PredecessorLeasesExpireAt) {
  // Nothing is placed on the worker before it has answered.
  SharedContext.Scheduler.setReachable(this->Worker, false);
}

auto WorkerLink::learn(const Event &Seen) -> WorkerLife::Transition {
  const auto Before = Life;
  const auto Result = Before.after(Seen);
  Life = Result.Next;
  if (Result.NewIncarnation)
    Leases.onNewIncarnation(Clock::now());
  // The clock may be that of another process.
  if (Result.AskNow)
    Leases.clock().reset();
  SharedContext.Scheduler.setReachable(Worker, Life.answers());
  logChange(Before);
  return Result;
}

auto WorkerLink::recordEntry(const WorkerChange &Change)
    -> WorkerLife::Transition {
  EntryWrittenAfter = Change.WrittenAfter;
  Address = Change.Report->Address;
  const auto Result = learn(EntrySeen{Change.Report->Incarnation});
  if (Change.Report->Incarnation == Life.incarnation())
    Leases.clock().recordReport(Change.ClockMs, Clock::now());
  return Result;
}

auto WorkerLink::recordRemoval(bool WasDraining) -> void {
  const bool LeftAfterDrain = WasDraining && EntryWrittenAfter &&
                              suspendAwareNow() - *EntryWrittenAfter <
                                  SharedContext.Settings.MinEntryLifetime;
  learn(EntryRemoved{entryIncarnation(), LeftAfterDrain});
}

auto WorkerLink::recordClock(std::int64_t Incarnation, std::int64_t ClockMs)
    -> void {
  if (Incarnation == Life.incarnation())
    Leases.clock().recordAnswer(ClockMs, Clock::now());
}

auto WorkerLink::concludeRunOver(const RunId &Id, RunOverEvidence Evidence)
    -> void {
  // The reply that shows this may also list the run's end.
  if (!SharedContext.Scheduler.run(Id))
    return;
  const auto Now = Clock::now();
  const auto MsSince = [Now](TimePoint Time) {
    return std::to_string(
        std::chrono::duration_cast<Milliseconds>(Now - Time).count());
  };
  logEvent(
      LogLevel::Info, "run-over",
      {{"run", toString(Id)},
       {"worker", Worker},
       {"evidence", std::string(toString(Evidence))},
       {"session", std::to_string(SessionNumber)},
       {"contact-age-ms",
        LastContact == TimePoint() ? "none" : MsSince(LastContact)},
       {"lease-over-ms",
        Leases.expireAt() == TimePoint() ? "none" : MsSince(Leases.expireAt())},
       {"entry-age-ms",
        EntryWrittenAfter
            ? std::to_string((suspendAwareNow() - *EntryWrittenAfter).count())
            : "unknown"},
       {"incarnation", std::to_string(Life.incarnation())},
       {"entry-incarnation", std::to_string(entryIncarnation())}});
  if (isNeverSent(Evidence))
    SharedContext.Scheduler.runUnsent(Id, isUnsentForWorker(Evidence), Now);
  else
    SharedContext.Scheduler.runLost(Id, Now);
}

auto WorkerLink::reportOtherProcess(const RunId &Id, std::int64_t LeastClockMs,
                                    const OrderReply &Reply) const -> void {
  if (Reply.WorkerClockMs <= 0 ||
      Reply.WorkerClockMs + ClockReadingTolerance.count() >= LeastClockMs)
    return;
  logEvent(LogLevel::Warning, "start-answered-by-other-process",
           {{"run", toString(Id)},
            {"worker", Worker},
            {"clock-ms", std::to_string(Reply.WorkerClockMs)},
            {"expected-at-least-ms", std::to_string(LeastClockMs)},
            {"incarnation", std::to_string(Life.incarnation())},
            {"entry-incarnation", std::to_string(entryIncarnation())}});
}

auto WorkerLink::target() const -> WorkerTarget {
  const bool IsKnown = Life.mayBeGranted() && Leases.canGrant();
  return {Worker, Address, IsKnown ? Life.incarnation() : 0};
}

auto WorkerLink::mayGrantLeases() const -> bool {
  return Life.mayBeGranted() && SharedContext.MayGrantLeases();
}

auto WorkerLink::areLeasesOver() const -> bool {
  return Clock::now() >
         std::max(Leases.expireAt(), SharedContext.PredecessorLeasesExpireAt);
}

auto WorkerLink::evidenceAgainstRuns() const -> std::optional<RunOverEvidence> {
  return Life.evidenceAgainstRuns(Clock::now() > Leases.expireAt());
}

auto WorkerLink::logChange(const WorkerLife &Before) const -> void {
  if (Life.isSilent() && !Before.isSilent())
    logEvent(LogLevel::Warning, "worker-unreachable", {{"worker", Worker}});
  if (Life.answers() && Before.isSilent())
    logEvent(LogLevel::Info, "worker-reached", {{"worker", Worker}});
  if (Life.incarnation() != Before.incarnation())
    logEvent(LogLevel::Info, "worker-incarnation",
             {{"worker", Worker},
              {"before", std::to_string(Before.incarnation())},
              {"now", std::to_string(Life.incarnation())}});
}

auto WorkerLink::entryIncarnation() const -> std::int64_t {
  const auto *Entry = SharedContext.Scheduler.worker(Worker);
  return Entry ? Entry->Report.Incarnation : 0;
}

} // namespace jayramp::shard
