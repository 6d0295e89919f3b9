#pragma once

#include "Scheduling/RunPollRate.h"
#include "Scheduling/SchedulingDecisions.h"
#include "Shard/RunOrders.h"
#include "Shard/StartConditions.h"
#include "Shard/WorkerLink.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jayramp::scheduling {
struct Run;
} // namespace jayramp::scheduling

namespace jayramp::shard {

/// Carries out the scheduler's decisions on the runs of one worker: starts runs
/// once their assignment is durable, stops runs, and concludes from the
/// worker's answers which of them are over.
class WorkerOrders {
public:
  using ReplyHandler = std::function<void(const OrderReply &)>;

  /// What the orders need of the session that they belong to.
  struct Hooks {
    /// Returns a callback for a call to the worker, which keeps the session
    /// until the call has ended.
    std::function<ReplyHandler(ReplyHandler)> ExpectReply;
    /// Called when an order was not sent because another process listens.
    std::function<void()> OnOtherProcess;
    /// Called when a reply permits further orders.
    std::function<void()> OnOrdersDue;
  };

  WorkerOrders(SessionContext &SharedContext, WorkerLink &Link, Hooks Session);

  // Commands.

  /// Sends the orders that are due, and gives up runs that are certainly over.
  auto sendDue() -> void;
  /// Handles a list of the runs on the worker, in the reply to a renewal that
  /// was sent at \p SentAt.
  auto recordListing(TimePoint SentAt, const RenewReply &Reply) -> void;
  /// Handles the first list of a process that has taken the place of another.
  auto onFormerEnded(const RenewReply &Reply) -> void;

  // Queries.

  auto isEmpty() const -> bool { return OrdersByRun.empty(); }
  /// Returns when the next orders are due, apart from those that wait for a
  /// reply, a commit or a decision; the latest possible time if there are none.
  auto nextDue() const -> TimePoint;
  /// Adds the jobs whose commit permits further orders to \p Jobs.
  auto addAwaitedJobs(std::set<std::string> &Jobs) const -> void;
  /// Returns the highest poll rate that a run needs.
  auto highestPollRate() const -> scheduling::RunPollRate;

private:
  auto sync() -> void;
  auto sendOrder(const scheduling::Run &ActiveRun, RunOrders &State) -> void;
  auto maySendStart(const RunOrders &State) const -> bool;
  /// Returns the timeout of the next start of a run.
  auto startTimeout(const RunOrders &State) const -> Milliseconds;
  auto reportStartDelay(const scheduling::RunId &Id, const RunOrders &State)
      -> void;
  auto startConditions(const RunOrders &State) const -> StartConditions;
  /// Returns why no start may be sent to the worker; none if one may.
  auto withdrawalReason() const -> std::optional<scheduling::StopReason>;
  /// Returns whether it is known what became of earlier starts of a run.
  auto areEarlierStartsKnown(const RunOrders &State) const -> bool;
  auto isHeldBack(const scheduling::RunId &Id) const -> bool;
  /// Cancels a run whose start was not confirmed.
  auto withdrawStart(const scheduling::RunId &Id, const RunOrders &State,
                     scheduling::StopReason Reason) -> void;
  /// Cancels a run of which no start was sent.
  auto dropUnsent(const scheduling::RunId &Id, RunOverEvidence Evidence)
      -> void;
  auto sendStart(const scheduling::Run &ActiveRun, RunOrders &State) -> void;
  /// Records how long the answer to an order took that was sent at \p SentAt.
  auto recordAnswerTime(TimePoint SentAt, Milliseconds Timeout,
                        const OrderReply &Reply) -> void;
  auto onStartReply(const scheduling::RunId &Id, const OrderReply &Reply)
      -> void;
  /// Sends a start that failed again after \p Delay, or abandons it.
  auto retryStart(const scheduling::RunId &Id, RunOrders &State,
                  const OrderReply &Reply, Milliseconds Delay) -> void;
  /// Returns whether a worker that answers has not started the run in time.
  auto isStartOverdue(const scheduling::RunId &Id, const RunOrders &State) const
      -> bool;
  auto abandonStart(const scheduling::RunId &Id, const RunOrders &State,
                    const OrderReply &Reply) -> void;
  auto sendStop(const scheduling::RunId &Id) -> void;
  auto onStopReply(const scheduling::RunId &Id, const OrderReply &Reply)
      -> void;
  auto recordRunning(const std::vector<ReportedRun> &Running) -> void;
  /// Handles the runs that the reply to a renewal sent at \p SentAt should
  /// list but does not.
  auto handleUnlisted(TimePoint SentAt, const RenewReply &Reply) -> void;
  /// Gives up the runs that are certainly over because the worker is silent.
  auto dropOver() -> void;
  auto dropAll(RunOverEvidence Evidence) -> void;
  auto now() const -> TimePoint { return Clock::now(); }

  SessionContext &SharedContext;
  WorkerLink &Link;
  Hooks Session;
  std::map<scheduling::RunId, RunOrders> OrdersByRun;
  std::set<scheduling::RunId> RecoveredRuns; ///< Assigned by a previous owner.
};

} // namespace jayramp::shard
