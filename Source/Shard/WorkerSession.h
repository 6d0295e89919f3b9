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
    WorkerTransport &Port;
    scheduling::ShardScheduler &Scheduler;
    const ShardSettings &Settings;
    ProgressJournal &Journal;
    std::uint64_t FencingToken = 0;
    /// False once leases must not be renewed any more.
    std::function<bool()> MayGrant;
    /// False while the list of workers may lack one that drains.
    std::function<bool()> MayStart;
    /// The scheduler's state has changed.
    std::function<void()> OnChange;
    std::function<void()> OnFenced;
  };

  /// \p LeasesUntil is when leases that a predecessor granted have run out.
  WorkerSession(Context &Shared, std::string Worker,
                std::optional<TimePoint> PredecessorLeasesUntil);

  /// A newer report of the worker; \p ClockMs is its clock, 0: not given.
  auto report(std::int64_t ClockMs) -> void;
  /// The worker has left the registry.
  auto unregistered(bool WasDraining) -> void;
  /// Sends what is due. Call after decisions, commits and once a tick.
  auto pump() -> void;
  /// Drops pending work; callbacks do nothing any more.
  auto close() -> void { Closed = true; }
  auto idle() const -> bool;

private:
  /// Orders about one run.
  struct Orders {
    ProgressChange Assignment; ///< Must be durable before a start.
    bool Recovered = false;    ///< Assigned by a predecessor.
    unsigned StartsSent = 0;
    unsigned StartsUnanswered = 0;
    bool StartInFlight = false;
    bool StopInFlight = false;
    TimePoint NextStart;
    TimePoint NextStop;
    /// From this time on the run is over if a hold does not list it.
    std::optional<TimePoint> OverUnlessListed;
  };

  struct PendingEnd {
    std::uint64_t Number = 0;
    ProgressChange Change; ///< Must be durable before the end is forgotten.
  };

  auto target() const -> WorkerTarget;
  auto syncOrders() -> void;
  auto pumpRun(const scheduling::Run &Alive, Orders &State) -> void;
  auto isDraining() const -> bool;
  auto isHeldBack(const scheduling::RunId &Id) const -> bool;
  /// Gives up a run that was not confirmed.
  auto withdrawStart(const scheduling::RunId &Id, const Orders &State) -> void;
  auto sendStart(const scheduling::Run &Alive, Orders &State) -> void;
  auto onStartReply(const scheduling::RunId &Id, const OrderReply &Reply)
      -> void;
  auto abandonStart(const scheduling::RunId &Id, const Orders &State,
                    const OrderReply &Reply) -> void;
  auto sendStop(const scheduling::RunId &Id) -> void;
  auto onStopReply(const scheduling::RunId &Id, const OrderReply &Reply)
      -> void;
  auto pumpHold() -> void;
  /// How long the next hold may wait for an end.
  auto holdWait() const -> Milliseconds;
  auto sendHold(Milliseconds Wait) -> void;
  auto onHoldReply(TimePoint SentAt, const RenewReply &Reply) -> void;
  auto takeEnds(const std::vector<ReportedEnd> &Ended) -> void;
  auto takeRunning(const std::vector<ReportedRun> &Running) -> void;
  auto dropUnlisted(TimePoint SentAt, const RenewReply &Reply) -> void;
  auto onOtherIncarnation(const RenewReply &Reply) -> void;
  auto resetIncarnation(std::int64_t Started) -> void;
  auto onHoldFailure() -> void;
  auto checkLeases() -> void;
  auto vanishAll(const char *Reason) -> void;
  auto noteGrant() -> void;
  auto mayGrant() const -> bool;
  auto now() const -> TimePoint { return Clock::now(); }

  Context &Shared;
  std::string Worker;
  std::string Address; ///< Last known, also after the worker has left.
  std::map<scheduling::RunId, Orders> OrdersOf;
  std::deque<PendingEnd> PendingEnds;
  std::uint64_t LastEndTaken = 0;
  std::uint64_t LastSeenDurable = 0;
  std::uint64_t LastSeenSent = 0;
  std::int64_t Incarnation = 0;
  WorkerClock RemoteClock;
  TimePoint LeasesUntil;
  TimePoint LastContact;
  bool HoldInFlight = false;
  bool HeldOnce = false;
  std::set<scheduling::RunId> RecoveredRuns; ///< Assigned by a predecessor.
  bool Unregistered = false;
  bool LeftForGood = false;
  unsigned HoldFailures = 0;
  TimePoint NextHold;
  bool Closed = false;
};

} // namespace jayramp::shard
