#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/ShardScheduler.h"
#include "Shard/EndAcknowledgement.h"
#include "Shard/FreshnessGuard.h"
#include "Shard/ProgressJournal.h"
#include "Shard/RunOverEvidence.h"
#include "Shard/ShardSettings.h"
#include "Shard/StartConditions.h"
#include "Shard/StartDelayLog.h"
#include "Shard/WorkerLeases.h"
#include "Shard/WorkerLife.h"
#include "Shard/WorkerRegistry.h"
#include "Shard/WorkerTransport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace jayramp::shard {

/// Carries out the scheduler's decisions on one worker: starts runs once their
/// assignment is durable, stops runs, renews leases, and reports to the
/// scheduler which runs the worker lists as running or ended.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
public:
  /// State that all sessions of a shard owner share.
  struct Context {
    net::EventLoop &Loop;
    WorkerTransport &Transport;
    scheduling::ShardScheduler &Scheduler;
    const ShardSettings &Settings;
    ProgressJournal &Journal;
    const FreshnessGuard &Freshness;
    std::uint64_t FencingToken = 0;
    /// Number of the session that was created last.
    std::uint64_t LastSessionNumber = 0;
    /// Returns false once leases must not be granted or renewed any more.
    std::function<bool()> MayGrantLeases;
    /// Called when the session has changed the scheduler's state.
    std::function<void()> OnStateChanged;
    /// Called after the session has sent the orders that were due.
    std::function<void(const WorkerSession &)> OnOrdersSent;
    /// Called when the reply to a call has left the session idle.
    std::function<void(const WorkerSession &)> OnIdle;
    /// Called when the worker has seen a higher fencing token.
    std::function<void()> OnFenced;
    StartDelayLog StartDelays;
  };

  /// \p PredecessorLeasesExpireAt is the time at which leases granted by the
  /// previous owner have expired; absent if the worker has none.
  WorkerSession(Context &SharedContext, std::string Worker,
                std::optional<TimePoint> PredecessorLeasesExpireAt);

  /// Handles a new report of the worker in the registry.
  auto onReport(const WorkerChange &Change) -> void;
  /// Handles the removal of the worker's entry from the registry.
  auto onUnregistered(bool WasDraining) -> void;
  /// Sends the orders that are due. Call when the scheduler has changed the
  /// worker's runs, when a job in awaitedJobs() is committed, and at nextDue().
  auto sendDueOrders() -> void;
  /// Ends the session; pending callbacks have no effect afterwards.
  auto close() -> void { Closed = true; }
  auto worker() const -> const std::string & { return Worker; }
  /// Returns true if the session can be removed: the worker is unregistered and
  /// has no runs, no call to it is in flight, and no end remains to be
  /// acknowledged unless the worker does not answer. A call must not outlive
  /// its session, since a later session does not know what the call may do.
  auto isIdle() const -> bool;
  /// Returns when the next orders are due, apart from those that wait for a
  /// reply, a commit or a decision.
  auto nextDue() const -> TimePoint;
  /// Returns the ids of the jobs whose commit permits further orders.
  auto awaitedJobs() const -> std::set<std::string>;

private:
  /// State of the orders for one run.
  struct RunOrders {
    ProgressChange Assignment; ///< Must be durable before a start is sent.
    bool Recovered = false;    ///< Assigned by a previous owner.
    TimePoint PlacedAt;        ///< When this session learned of the run.
    unsigned StartsSent = 0;   ///< Those that may have reached the worker.
    unsigned StartAttempts = 0;
    unsigned StartsUnanswered = 0;
    bool StartInFlight = false;
    bool StopInFlight = false;
    TimePoint NextStart;
    TimePoint NextStop;
    /// If set, the run has ended if a renewal sent at this time or later does
    /// not list it.
    std::optional<TimePoint> EndedIfUnlistedAfter;
  };

  auto target() const -> WorkerTarget;
  /// Returns a callback for a call to the worker that passes the reply to
  /// \p Handle, unless the session has been closed meanwhile.
  template <typename Reply, typename Handler>
  auto expectReply(Handler Handle) -> std::function<void(const Reply &)>;
  /// Reports a run to the scheduler as over. No other function does so for a
  /// run without a listed end.
  auto concludeRunOver(const scheduling::RunId &Id, RunOverEvidence Evidence)
      -> void;
  /// Returns the incarnation in the worker's entry; 0 if it is unknown.
  auto entryIncarnation() const -> std::int64_t;
  /// Logs if the reply to a start shows a clock below \p LeastClockMs, the
  /// least that the clock of the process that it was meant for could show.
  auto reportOtherProcess(const scheduling::RunId &Id,
                          std::int64_t LeastClockMs,
                          const OrderReply &Reply) const -> void;
  /// Learns what \p Seen tells of the worker's life, and does what follows.
  /// Returns whether the process before has ended.
  auto learn(const life_event::Event &Seen) -> bool;
  auto logChange(const WorkerLife &Before) const -> void;
  /// Asks the worker at once which of its processes runs.
  auto askNow() -> void;
  auto syncOrders() -> void;
  auto sendRunOrder(const scheduling::Run &ActiveRun, RunOrders &State) -> void;
  auto reportStartDelay(const scheduling::RunId &Id, const RunOrders &State)
      -> void;
  auto startConditions(const RunOrders &State) const -> StartConditions;
  /// Returns why no start may be sent to the worker; none if one may.
  auto withdrawalReason() const -> std::optional<scheduling::StopReason>;
  /// Returns whether the session knows what became of earlier starts of a run.
  auto isKnown(const RunOrders &State) const -> bool;
  auto isHeldBack(const scheduling::RunId &Id) const -> bool;
  /// Cancels a run whose start was not confirmed.
  auto withdrawStart(const scheduling::RunId &Id, const RunOrders &State,
                     scheduling::StopReason Reason) -> void;
  /// Cancels a run of which no start was sent.
  auto dropUnsentRun(const scheduling::RunId &Id) -> void;
  auto sendStart(const scheduling::Run &ActiveRun, RunOrders &State) -> void;
  auto onStartReply(const scheduling::RunId &Id, const OrderReply &Reply)
      -> void;
  auto abandonStart(const scheduling::RunId &Id, const RunOrders &State,
                    const OrderReply &Reply) -> void;
  auto sendStop(const scheduling::RunId &Id) -> void;
  auto onStopReply(const scheduling::RunId &Id, const OrderReply &Reply)
      -> void;
  auto renewIfDue() -> void;
  /// Returns when a renewal is due; the latest possible time if none is needed.
  auto nextRenewal() const -> TimePoint;
  auto needsRenewal() const -> bool;
  /// Returns how long the worker may delay the reply to the next renewal.
  auto renewWait() const -> Milliseconds;
  auto sendRenewal(Milliseconds Wait) -> void;
  auto onRenewReply(TimePoint SentAt, const RenewReply &Reply) -> void;
  /// Records the ends that were not reported before. Returns whether there are
  /// any.
  auto recordEnds(const std::vector<ReportedEnd> &Ended) -> bool;
  /// Withholds the acknowledgement of the success of a run whose task was
  /// started again, because the run had been taken for lost. If it were
  /// acknowledged, the task would count as one that was started after its
  /// success was known.
  auto withholdEnd(const ReportedEnd &End) -> void;
  /// Acknowledges ends again if there is no reason to withhold them any more.
  auto releaseWithheldEnd(const std::vector<ReportedEnd> &Ended) -> void;
  auto recordRunning(const std::vector<ReportedRun> &Running) -> void;
  /// Handles the runs that the reply to a renewal sent at \p SentAt should
  /// list but does not.
  auto handleUnlistedRuns(TimePoint SentAt, const RenewReply &Reply) -> void;
  /// Handles the first reply of a process that has taken the place of another.
  auto onFormerEnded(const RenewReply &Reply) -> void;
  auto onRenewFailure() -> void;
  auto checkLeases() -> void;
  auto dropAllRuns(RunOverEvidence Evidence) -> void;
  auto mayGrantLeases() const -> bool;
  auto now() const -> TimePoint { return Clock::now(); }

  Context &SharedContext;
  std::uint64_t SessionNumber = 0; ///< Tells sessions apart in the log.
  std::string Worker;
  std::string Address; ///< Last known address; kept after the worker has left.
  std::map<scheduling::RunId, RunOrders> OrdersByRun;
  EndAcknowledgement Ends; ///< Of the present incarnation.
  WorkerLife Life;
  WorkerLeases Leases;
  TimePoint LastContact;
  unsigned CallsInFlight = 0; ///< Of all kinds.
  bool RenewInFlight = false;
  std::uint64_t RenewNumber = 0; ///< Replies to earlier renewals are ignored.
  std::set<scheduling::RunId> RecoveredRuns; ///< Assigned by a previous owner.
  /// The worker's last entry was not written before this time.
  std::optional<Milliseconds> EntryWrittenAfter;
  TimePoint NextRenew;
  bool Closed = false;
};

} // namespace jayramp::shard
