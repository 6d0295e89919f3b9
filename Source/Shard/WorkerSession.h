#pragma once

#include "Base/Clock.h"
#include "Shard/EndRecorder.h"
#include "Shard/WorkerLink.h"
#include "Shard/WorkerOrders.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace jayramp::shard {

struct SessionContext;
struct WorkerChange;

/// Keeps up the contact with one worker: asks it, renews its leases, has the
/// orders for its runs sent, and reports to the scheduler which runs it lists
/// as running or ended.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
public:
  /// \p PredecessorLeasesExpireAt is the time at which leases granted by the
  /// previous owner have expired; absent if the worker has none.
  WorkerSession(SessionContext &SharedContext, std::string Worker,
                std::optional<TimePoint> PredecessorLeasesExpireAt);

  // Commands.

  /// Handles a new report of the worker in the registry.
  auto onReport(const WorkerChange &Change) -> void;
  /// Handles the removal of the worker's entry from the registry.
  auto onUnregistered(bool WasDraining) -> void;
  /// Sends the orders that are due. Call when the scheduler has changed the
  /// worker's runs, when a job in awaitedJobs() is committed, and at nextDue().
  auto sendDueOrders() -> void;
  /// Ends the session; pending callbacks have no effect afterwards.
  auto close() -> void { Closed = true; }

  // Queries.

  auto worker() const -> const std::string & { return Link.worker(); }
  /// Returns true if the session can be removed: the worker is unregistered and
  /// has no runs, no call to it is in flight, no lease on it can be valid, and
  /// no end remains to be acknowledged unless the worker does not answer. Calls
  /// and leases must not outlive their session, since a later one does not know
  /// of them.
  auto isIdle() const -> bool;
  /// Returns when the next orders are due, apart from those that wait for a
  /// reply, a commit or a decision, or when the session may become idle.
  auto nextDue() const -> TimePoint;
  /// Returns whether the worker is registered and did not answer the last call.
  auto lacksAnswer() const -> bool { return Link.life().mustBeAsked(); }
  /// Returns whether the acknowledgement of an end of the worker is withheld.
  auto withholdsEnd() const -> bool {
    return Ends.acknowledgement().withheldEnd().has_value();
  }
  /// Returns when the worker was last asked; when the session began before.
  auto lastAsked() const -> TimePoint { return LastAsked; }
  /// Returns the ids of the jobs whose commit permits further orders.
  auto awaitedJobs() const -> std::set<std::string>;

private:
  /// Returns a callback for a call to the worker that passes the reply to
  /// \p Handle, unless the session has been closed meanwhile.
  template <typename Reply, typename Handler>
  auto expectReply(Handler Handle) -> std::function<void(const Reply &)>;
  /// Does what has to be done after an event in the worker's life.
  auto carryOut(const WorkerLife::Transition &Result) -> void;
  auto renewIfDue() -> void;
  auto needsRenewal() const -> bool;
  /// Returns when a renewal is due; the latest possible time if none is needed.
  auto nextRenewal() const -> TimePoint;
  /// Returns when the session may become idle if it only waits for the end of
  /// leases; otherwise the latest possible time.
  auto idleFrom() const -> TimePoint;
  /// Returns how long the worker may delay the reply to the next renewal.
  auto renewWait() const -> Milliseconds;
  /// Returns how long the reply to a renewal is awaited beyond its wait.
  auto replyMargin() const -> Milliseconds;
  auto sendRenewal(Milliseconds Wait) -> void;
  auto onRenewReply(TimePoint SentAt, const RenewReply &Reply) -> void;
  auto onRenewFailure() -> void;
  auto now() const -> TimePoint { return Clock::now(); }

  SessionContext &SharedContext;
  WorkerLink Link;
  WorkerOrders Orders;
  EndRecorder Ends;
  unsigned CallsInFlight = 0; ///< Of all kinds.
  bool RenewInFlight = false;
  std::uint64_t RenewNumber = 0; ///< Replies to earlier renewals are ignored.
  TimePoint NextRenew;
  TimePoint LastAsked = Clock::now();
  bool Closed = false;
};

} // namespace jayramp::shard
