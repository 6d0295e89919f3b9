#include "Membership/MembershipRunner.h"

#include "Base/EventLog.h"
#include "Membership/MembershipEngine.h"
#include "Membership/PeerTransport.h"
#include "Membership/StoreBackoff.h"
#include "Membership/WakeSignal.h"

#include <algorithm>
#include <limits>
#include <mutex>
#include <thread>
#include <utility>

namespace jayramp {

namespace {

// 2.5 reads a second keep the takeover from a crashed host within 4 s: it takes
// up to one interval until the last heartbeat is read, the silence limit of
// 2.5 s, and up to one more interval until the missing heartbeat is noticed.
constexpr Milliseconds HeartbeatReadInterval{400};
// Several wake-ups within this time cause one round of peer heartbeats.
constexpr Milliseconds MinPeerHeartbeatInterval{5};

auto logStoreFailure(std::string_view FailedStep, const Error &Failure)
    -> void {
  logEvent(LogLevel::Warning, "membership_store_failure",
           {{"step", std::string(FailedStep)}, {"error", Failure.message()}});
}

} // namespace

class MembershipRunner::Implementation {
public:
  Implementation(Member Self, MembershipTiming Timing, TableService &Tables,
                 PeerTransport &Transport, ConfigurationStore &Store,
                 Metrics &Registry)
      : Timing(Timing), Engine(std::move(Self), Timing, Tables, Transport,
                               Store, Registry, [this] {
                                 PeerHeartbeatWake.wake();
                                 ViewWake.wake();
                                 ListenerWake.wake();
                               }) {}

  ~Implementation() { stop(); }

  auto start() -> void {
    Threads.emplace_back([this] { runStoreHeartbeats(); });
    Threads.emplace_back([this] { runViewMaintenance(); });
    Threads.emplace_back([this] { runPeerHeartbeats(); });
    Threads.emplace_back([this] { runListeners(); });
  }

  auto stop() -> void {
    for (WakeSignal *Signal :
         {&StoreHeartbeatWake, &ViewWake, &PeerHeartbeatWake, &ListenerWake})
      Signal->shutDown();
    for (auto &Thread : Threads)
      Thread.join();
    Threads.clear();
  }

  auto addViewListener(ViewListener Listener) -> void {
    std::lock_guard Lock(ListenersMutex);
    Listeners.push_back(std::move(Listener));
  }

private:
  auto runStoreHeartbeats() -> void;
  auto runViewMaintenance() -> void;
  auto runPeerHeartbeats() -> void;
  auto runListeners() -> void;

  MembershipTiming Timing;
  WakeSignal StoreHeartbeatWake;
  WakeSignal ViewWake;
  WakeSignal PeerHeartbeatWake;
  WakeSignal ListenerWake;
  std::mutex ListenersMutex; ///< Guards Listeners.
  std::vector<ViewListener> Listeners;
  std::vector<std::thread> Threads;

public:
  MembershipEngine Engine;
};

auto MembershipRunner::Implementation::runStoreHeartbeats() -> void {
  StoreBackoff Backoff;
  TimePoint Next = Clock::now();
  bool Failing = false;
  while (!StoreHeartbeatWake.isShutDown()) {
    TimePoint Begin = Clock::now();
    auto Outcome = Engine.writeHeartbeat();
    if (Outcome) {
      Backoff.reset();
      Next = Begin + Timing.StoreHeartbeatInterval;
      if (std::exchange(Failing, false))
        logEvent(LogLevel::Info, "membership_store_restored", {});
    } else {
      if (!std::exchange(Failing, true))
        logStoreFailure("heartbeat", Outcome.error());
      Next = std::max(Begin + Timing.StoreHeartbeatInterval / 2,
                      Clock::now() + Backoff.nextDelay());
    }
    StoreHeartbeatWake.waitUntil(Next);
  }
}

auto MembershipRunner::Implementation::runViewMaintenance() -> void {
  StoreBackoff Backoff;
  TimePoint NextRead = Clock::now();
  TimePoint NextAttempt = NextRead;
  std::uint64_t LastVersion = 0;
  bool Failing = false;
  while (!ViewWake.isShutDown()) {
    TimePoint Begin = Clock::now();
    bool ReadHeartbeatRows = Begin >= NextRead;
    if (ReadHeartbeatRows)
      NextRead = Begin + HeartbeatReadInterval;
    if (Begin >= NextAttempt) {
      if (auto Outcome = Engine.maintainView(ReadHeartbeatRows)) {
        Backoff.reset();
        Failing = false;
      } else {
        if (!std::exchange(Failing, true))
          logStoreFailure("view", Outcome.error());
        NextAttempt = Clock::now() + Backoff.nextDelay();
        NextRead = std::max(NextRead, NextAttempt);
      }
    }
    // After a change of the view, write a heartbeat at once to confirm it.
    if (std::uint64_t Version = Engine.view()->version();
        std::exchange(LastVersion, Version) != Version)
      StoreHeartbeatWake.wake();
    ViewWake.waitUntil(NextRead);
  }
}

auto MembershipRunner::Implementation::runPeerHeartbeats() -> void {
  Milliseconds Interval = Timing.PeerHeartbeatInterval;
  std::uint64_t LastVersion = 0;
  while (!PeerHeartbeatWake.isShutDown()) {
    TimePoint Begin = Clock::now();
    Engine.sendHeartbeats();
    // A peer may adopt the view just after it has replied, and nothing notifies
    // this host. Requests wait until the view is settled, so ask again soon and
    // then at doubling intervals.
    std::uint64_t Version = Engine.view()->version();
    if (Engine.isSettled())
      Interval = Timing.PeerHeartbeatInterval;
    else if (std::exchange(LastVersion, Version) != Version)
      Interval = MinPeerHeartbeatInterval;
    else
      Interval = std::min(2 * Interval, Timing.PeerHeartbeatInterval);
    if (PeerHeartbeatWake.waitUntil(Begin + Interval))
      std::this_thread::sleep_until(Begin + MinPeerHeartbeatInterval);
  }
}

auto MembershipRunner::Implementation::runListeners() -> void {
  auto Last = std::make_shared<const View>();
  while (!ListenerWake.isShutDown()) {
    auto Newest = Engine.view();
    if (Newest->version() == Last->version()) {
      ListenerWake.waitUntil(Clock::now() + Timing.StoreHeartbeatInterval);
      continue;
    }
    std::vector<ViewListener> CurrentListeners;
    {
      std::lock_guard Lock(ListenersMutex);
      CurrentListeners = Listeners;
    }
    std::shared_ptr<const View> Previous = std::exchange(Last, Newest);
    for (const auto &Entry : CurrentListeners)
      Entry(Previous, Newest);
  }
}

MembershipRunner::MembershipRunner(std::unique_ptr<Implementation> Body)
    : Body(std::move(Body)) {}

MembershipRunner::~MembershipRunner() = default;

auto MembershipRunner::make(Member Self, MembershipTiming Timing,
                            TableService &Tables, PeerTransport &Transport,
                            ConfigurationStore &Store, Metrics &Registry)
    -> Result<std::unique_ptr<MembershipRunner>> {
  auto Reject = [](std::string Place, std::string Detail, std::string Remedy) {
    return Error::make(ErrorKind::InvalidArgument, std::move(Place),
                       std::move(Detail), std::move(Remedy));
  };
  if (Self.Name.empty())
    return Reject("name", "is empty", "set the name of this entry host");
  if (Self.PeerAddress.empty())
    return Reject("peer_address", "is empty",
                  "set the address at which peers reach this entry host");
  if (Timing.SilenceLimit <= Timing.ConfirmationWindow)
    return Reject("silence_limit", "does not exceed the confirmation window",
                  "raise the silence limit, otherwise a removed host could "
                  "still serve");
  Self.Incarnation.clear();
  Self.State = MemberState::Serving;
  auto Body = std::make_unique<Implementation>(std::move(Self), Timing, Tables,
                                               Transport, Store, Registry);
  Transport.setHandler(PeerMessageType::Heartbeat, Body->Engine);
  return std::unique_ptr<MembershipRunner>(
      new MembershipRunner(std::move(Body)));
}

auto MembershipRunner::start() -> void { Body->start(); }

auto MembershipRunner::stop() -> void { Body->stop(); }

auto MembershipRunner::view() const -> std::shared_ptr<const View> {
  return Body->Engine.view();
}

auto MembershipRunner::incarnation() const -> std::string {
  return Body->Engine.self().Incarnation;
}

auto MembershipRunner::incarnations() const -> std::vector<std::string> {
  return Body->Engine.incarnations();
}

auto MembershipRunner::peerObservations() const
    -> std::vector<PeerObservation> {
  return Body->Engine.peerObservations();
}

auto MembershipRunner::hasMajority() const -> bool {
  return Body->Engine.hasMajority();
}

auto MembershipRunner::servingDecision() const -> ServingDecision {
  return Body->Engine.servingDecision();
}

auto MembershipRunner::addViewListener(ViewListener Listener) -> void {
  Body->addViewListener(std::move(Listener));
}

auto MembershipRunner::reportFreeSlots(std::uint32_t FreeSlots) -> void {
  Body->Engine.reportFreeSlots(FreeSlots);
}

auto MembershipRunner::prepareToLeave(Milliseconds Timeout) -> Result<void> {
  Body->Engine.requestLeaving();
  bool Succeeded = Body->Engine.waitFor(
      [](const MembershipState &State) {
        if (!State.isMember())
          return true;
        // The configuration does not matter here, so accept any version.
        auto Decision = State.servingDecision(
            std::numeric_limits<std::uint64_t>::max(), Clock::now());
        return State.view()->find(State.self().Name)->State ==
                   MemberState::Leaving &&
               std::holds_alternative<ServingPermitted>(Decision);
      },
      Clock::now() + Timeout);
  if (Succeeded)
    return success();
  return Error::make(ErrorKind::Timeout, "membership/view",
                     "no view with this host marked as leaving took effect in "
                     "time",
                     "none needed: its racks and shards move once the other "
                     "members remove it for missing heartbeats");
}

auto MembershipRunner::leave(Milliseconds Timeout) -> Result<void> {
  Body->Engine.requestRemoval();
  bool Succeeded = Body->Engine.waitFor(
      [](const MembershipState &State) { return !State.isMember(); },
      Clock::now() + Timeout);
  if (Succeeded)
    return success();
  return Error::make(ErrorKind::Timeout, "membership/view",
                     "no view without this host was confirmed in time",
                     "none needed: the other members remove it for missing "
                     "heartbeats");
}

} // namespace jayramp
