#pragma once

#include "Base/Clock.h"
#include "Scheduling/Run.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jayramp::shard {

/// Worker that an order is sent to. Its id and address stay the same when its
/// process restarts.
struct WorkerTarget {
  std::string Id;
  std::string Address; ///< "ip:port".
  /// Start time of the process that the order is meant for, Unix ms; 0 if it is
  /// unknown.
  std::int64_t Incarnation = 0;
};

/// Result of an order to a worker. The numbers stand in the log.
enum class OrderOutcome {
  Accepted,
  Fenced,           ///< The worker has seen a higher fencing token.
  RunAlreadyEnded,  ///< This run or a later run of the task was stopped or
                    ///< has ended on the worker.
  LeaseExpired,     ///< The lease had expired when the order arrived.
  NoCapacity,       ///< The worker lacks free resources for the run.
  Refused,          ///< Not carried out, for another reason.
  WrongIncarnation, ///< Another process listens at the address; not sent.
  Unanswered,       ///< May have been carried out or may be carried out later.
  NotSent,          ///< The process could not be identified; not carried out.
};

/// Reply to a start or stop order.
struct OrderReply {
  OrderOutcome Outcome = OrderOutcome::Unanswered;
  std::int64_t WorkerClockMs = 0; ///< 0 if not reported.
  std::string Detail;
};

/// Starts a run on a worker.
struct StartOrder {
  scheduling::RunId Run;
  std::string Payload;
  std::string Checkpoint;            ///< Empty to start from the beginning.
  std::int64_t LeaseExpiresAtMs = 0; ///< On the worker's clock.
  std::uint64_t FencingToken = 0;
};

/// Stops a run on a worker.
struct StopOrder {
  scheduling::RunId Run;
  std::uint64_t FencingToken = 0;
};

/// Renews the leases of all runs on a worker and requests the state of its
/// runs. Sent as a "hold" request.
struct RenewOrder {
  std::uint64_t FencingToken = 0;
  std::uint64_t LastSeenEnd = 0; ///< The worker may forget ends up to this
                                 ///< number.
  /// On the worker's clock; 0 renews nothing.
  std::int64_t LeaseExpiresAtMs = 0;
  Milliseconds Wait{0}; ///< Time to delay the reply until a run ends.
};

/// A running run as reported by a worker.
struct ReportedRun {
  scheduling::RunId Run;
  std::string Checkpoint;
  std::uint32_t Percent = 0;
};

/// An ended run as reported by a worker.
struct ReportedEnd {
  std::uint64_t Number = 0; ///< Counts from 1 in each incarnation.
  scheduling::RunId Run;
  scheduling::RunOutcome Outcome = scheduling::RunOutcome::Stopped;
  std::string Checkpoint;
};

/// Reply to a lease renewal.
struct RenewReply {
  OrderOutcome Outcome = OrderOutcome::Unanswered;
  std::int64_t WorkerClockMs = 0;
  std::int64_t Incarnation = 0; ///< 0 if not reported.
  std::vector<ReportedRun> Running;
  std::vector<ReportedEnd> Ended;
};

/// Sends orders to workers. Each callback is called exactly once, on the event
/// loop.
class WorkerTransport {
public:
  virtual ~WorkerTransport() = default;

  /// Starts a run. No process but the target's incarnation receives the order,
  /// since its lease is a time on the clock of that process.
  virtual auto start(const WorkerTarget &Target, const StartOrder &Order,
                     Milliseconds Timeout, std::function<void(OrderReply)> Done)
      -> void = 0;
  /// Stops a run. Any process of the worker may receive the order: one that
  /// does not know the run rejects it from then on.
  virtual auto stop(const WorkerTarget &Target, const StopOrder &Order,
                    Milliseconds Timeout, std::function<void(OrderReply)> Done)
      -> void = 0;
  /// Renews leases and acknowledges ends; no process but the target's
  /// incarnation receives either. If another process listens, or the
  /// incarnation is 0, the reply describes the process that listens.
  virtual auto renewLeases(const WorkerTarget &Target, const RenewOrder &Order,
                           Milliseconds Timeout,
                           std::function<void(RenewReply)> Done) -> void = 0;
};

} // namespace jayramp::shard
