#pragma once

#include "Base/Clock.h"
#include "Scheduling/Run.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jayramp::shard {

/// Which process an order is meant for.
struct WorkerTarget {
  std::string Id;
  std::string Address; ///< "ip:port".
};

/// How a worker answered an order.
enum class OrderOutcome {
  Accepted,
  Fenced,          ///< A higher fencing token has been seen.
  RunAlreadyEnded, ///< This run, or a later one, was stopped or has ended
                   ///< there.
  LeaseExpired,    ///< The lease had run out when the order arrived.
  NoCapacity,
  Refused,          ///< Nothing was done, for another reason.
  WrongIncarnation, ///< The process at this address is not the target.
  Unanswered,       ///< May have been carried out, or may be later.
};

/// Answer to a start or stop.
struct OrderReply {
  OrderOutcome Outcome = OrderOutcome::Unanswered;
  std::int64_t WorkerClockMs = 0; ///< 0: not given.
  std::string Detail;
};

struct StartOrder {
  scheduling::RunId Run;
  std::string Payload;
  std::string Checkpoint;        ///< Empty: from the beginning.
  std::int64_t LeaseUntilMs = 0; ///< On the worker's clock.
  std::uint64_t FencingToken = 0;
};

struct StopOrder {
  scheduling::RunId Run;
  std::uint64_t FencingToken = 0;
};

/// Renews the lease of all runs of a worker and asks what happened there.
struct RenewOrder {
  std::uint64_t FencingToken = 0;
  std::uint64_t LastSeenEnd = 0; ///< Ends up to this number may be forgotten.
  std::int64_t LeaseUntilMs = 0; ///< On the worker's clock; 0: no renewal.
  Milliseconds Wait{0};          ///< How long the worker waits for an end.
};

struct ReportedRun {
  scheduling::RunId Run;
  std::string Checkpoint;
  std::uint32_t Percent = 0;
};

struct ReportedEnd {
  std::uint64_t Number = 0; ///< Counts from 1 in each incarnation.
  scheduling::RunId Run;
  scheduling::RunOutcome How = scheduling::RunOutcome::Stopped;
  std::string Checkpoint;
};

struct RenewReply {
  OrderOutcome Outcome = OrderOutcome::Unanswered;
  std::int64_t WorkerClockMs = 0;
  std::int64_t Incarnation = 0; ///< 0: not given.
  std::vector<ReportedRun> Running;
  std::vector<ReportedEnd> Ended;
};

/// Orders to workers. Callbacks run on the event loop, exactly once each.
class WorkerTransport {
public:
  virtual ~WorkerTransport() = default;

  virtual auto start(const WorkerTarget &Target, const StartOrder &Order,
                     Milliseconds Timeout, std::function<void(OrderReply)> Done)
      -> void = 0;
  virtual auto stop(const WorkerTarget &Target, const StopOrder &Order,
                    Milliseconds Timeout, std::function<void(OrderReply)> Done)
      -> void = 0;
  virtual auto renewLeases(const WorkerTarget &Target, const RenewOrder &Order,
                           Milliseconds Timeout,
                           std::function<void(RenewReply)> Done) -> void = 0;
};

} // namespace jayramp::shard
