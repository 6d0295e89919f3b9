#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/ShardScheduler.h"
#include "Shard/ProgressJournal.h"
#include "Shard/ShardSettings.h"
#include "Shard/WorkerClock.h"
#include "Shard/WorkerTransport.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace jayramp::shard {

/// Carries out the scheduler's decisions on one worker: sends starts once they
/// are durable and stops, renews leases, and reports what the worker lists.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
public:
  /// What a session shares with the other sessions of its owner.
  struct Context {
    net::EventLoop &Loop;
    WorkerTransport &Transport;
    scheduling::ShardScheduler &Scheduler;
    const ShardSettings &Settings;
    ProgressJournal &Journal;
    std::uint64_t FencingToken = 0;
    /// False once leases must not be renewed any more.
    std::function<bool()> MayGrantLeases;
    /// False while the list of workers may lack one that drains.
    std::function<bool()> MayStartRuns;
    /// The scheduler's state has changed.
    std::function<void()> OnStateChanged;
    std::function<void()> OnFenced;
  };

  /// \p LeasesUntil is when leases that a predecessor granted have run out.
  WorkerSession(Context &SharedContext, std::string Worker,
                std::optional<TimePoint> PredecessorLeasesUntil);

  /// A newer report of the worker; \p ClockMs is its clock, 0: not given.
  auto onReport(std::int64_t ClockMs) -> void;
  /// The worker has left the registry.
  auto onUnregistered(bool WasDraining) -> void;
  /// Sends what is due. Call after decisions, commits and once a tick.
  auto sendDueOrders() -> void;
  /// Drops pending work; callbacks do nothing any more.
  auto close() -> void { Closed = true; }
  auto isIdle() const -> bool;

private:
  /// RunOrders about one run.
  struct RunOrders {
    ProgressChange Assignment; ///< Must be durable before a start.
    bool Recovered = false;    ///< Assigned by a predecessor.
    unsigned StartsSent = 0;
    unsigned StartsUnanswered = 0;
    bool StartInFlight = false;
    bool StopInFlight = false;
    TimePoint NextStart;
    TimePoint NextStop;
    /// From this time on the run is over if a hold does not list it.
    std::optional<TimePoint> EndedIfUnlistedAfter;
  };

  struct PendingEnd {
    std::uint64_t Number = 0;
    ProgressChange Change; ///< Must be durable before the end is forgotten.
  };

  auto target() const -> WorkerTarget;
  auto syncOrders() -> void;
  auto sendRunOrder(const scheduling::Run &ActiveRun, RunOrders &State) -> void;
  auto isDraining() const -> bool;
  auto isHeldBack(const scheduling::RunId &Id) const -> bool;
  /// Gives up a run that was not confirmed.
  auto withdrawStart(const scheduling::RunId &Id, const RunOrders &State)
      -> void;
  auto sendStart(const scheduling::Run &ActiveRun, RunOrders &State) -> void;
  auto onStartReply(const scheduling::RunId &Id, const OrderReply &Reply)
      -> void;
  auto abandonStart(const scheduling::RunId &Id, const RunOrders &State,
                    const OrderReply &Reply) -> void;
  auto sendStop(const scheduling::RunId &Id) -> void;
  auto onStopReply(const scheduling::RunId &Id, const OrderReply &Reply)
      -> void;
  auto renewIfDue() -> void;
  /// How long the next hold may wait for an end.
  auto renewWait() const -> Milliseconds;
  auto sendRenewal(Milliseconds Wait) -> void;
  auto onRenewReply(TimePoint SentAt, const RenewReply &Reply) -> void;
  auto recordEnds(const std::vector<ReportedEnd> &Ended) -> void;
  auto recordRunning(const std::vector<ReportedRun> &Running) -> void;
  auto dropUnlistedRuns(TimePoint SentAt, const RenewReply &Reply) -> void;
  auto onNewIncarnation(const RenewReply &Reply) -> void;
  auto switchIncarnation(std::int64_t Started) -> void;
  auto onRenewFailure() -> void;
  auto checkLeases() -> void;
  auto dropAllRuns(const char *Reason) -> void;
  auto recordLeaseGrant() -> void;
  auto mayGrantLeases() const -> bool;
  auto now() const -> TimePoint { return Clock::now(); }

  Context &SharedContext;
  std::string Worker;
  std::string Address; ///< Last known, also after the worker has left.
  std::map<scheduling::RunId, RunOrders> OrdersByRun;
  std::deque<PendingEnd> PendingEnds;
  std::uint64_t LastEndRecorded = 0;
  std::uint64_t LastDurableEnd = 0;
  std::uint64_t LastAcknowledgedEnd = 0;
  std::int64_t Incarnation = 0;
  WorkerClock RemoteClock;
  TimePoint LeasesUntil;
  TimePoint LastContact;
  bool RenewInFlight = false;
  bool ContactEstablished = false;
  std::set<scheduling::RunId> RecoveredRuns; ///< Assigned by a predecessor.
  bool Unregistered = false;
  bool LeftAfterDrain = false;
  unsigned RenewFailures = 0;
  TimePoint NextRenew;
  bool Closed = false;
};

} // namespace jayramp::shard
