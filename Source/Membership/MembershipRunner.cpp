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

// 2.5 reads a second keep a takeover within 4 s: up to one interval until the
// last heartbeat is seen, the silence limit, and one more interval.
constexpr Milliseconds ReadInterval{400};
// Wakes in quick succession cause one round of heartbeats.
constexpr Milliseconds ShortestPeerInterval{5};

auto logStoreFailure(std::string_view Step, const Error &Failure) -> void {
  logEvent(LogLevel::Warning, "membership_store_failure",
           {{"step", std::string(Step)}, {"error", Failure.message()}});
}

} // namespace

class MembershipRunner::Implementation {
public:
  Implementation(Member Self, MembershipTiming Timing, TableService &Tables,
                 PeerTransport &Transport, ConfigurationStore &Store,
                 Metrics &Registry)
      : Timing(Timing), Engine(std::move(Self), Timing, Tables, Transport,
                               Store, Registry, [this] {
                                 PeerWake.wake();
                                 ViewWake.wake();
                                 ListenerWake.wake();
                               }) {}

  ~Implementation() { stop(); }

  auto start() -> void {
    Threads.emplace_back([this] { runHeartbeats(); });
    Threads.emplace_back([this] { runView(); });
    Threads.emplace_back([this] { runPeers(); });
    Threads.emplace_back([this] { runListeners(); });
  }

  auto stop() -> void {
    for (WakeSignal *Signal :
         {&HeartbeatWake, &ViewWake, &PeerWake, &ListenerWake})
      Signal->shutDown();
    for (auto &Thread : Threads)
      Thread.join();
    Threads.clear();
  }

  auto addViewListener(ViewListener Added) -> void {
    std::lock_guard Lock(ListenersMutex);
    Listeners.push_back(std::move(Added));
  }

private:
  auto runHeartbeats() -> void;
  auto runView() -> void;
  auto runPeers() -> void;
  auto runListeners() -> void;

  MembershipTiming Timing;
  WakeSignal HeartbeatWake;
  WakeSignal ViewWake;
  WakeSignal PeerWake;
  WakeSignal ListenerWake;
  std::mutex ListenersMutex; ///< Guards Listeners.
  std::vector<ViewListener> Listeners;
  std::vector<std::thread> Threads;

public:
  MembershipEngine Engine;
};

auto MembershipRunner::Implementation::runHeartbeats() -> void {
  StoreBackoff Backoff;
  TimePoint Next = Clock::now();
  bool Failing = false;
  while (!HeartbeatWake.isShutDown()) {
    TimePoint Begin = Clock::now();
    auto Written = Engine.writeHeartbeat();
    if (Written) {
      Backoff.succeed();
      Next = Begin + Timing.StoreHeartbeatInterval;
      if (std::exchange(Failing, false))
        logEvent(LogLevel::Info, "membership_store_restored", {});
    } else {
      if (!std::exchange(Failing, true))
        logStoreFailure("heartbeat", Written.error());
      Next = std::max(Begin + Timing.StoreHeartbeatInterval / 2,
                      Clock::now() + Backoff.fail());
    }
    HeartbeatWake.waitUntil(Next);
  }
}

auto MembershipRunner::Implementation::runView() -> void {
  StoreBackoff Backoff;
  TimePoint NextRead = Clock::now();
  TimePoint NextTry = NextRead;
  std::uint64_t LastVersion = 0;
  bool Failing = false;
  while (!ViewWake.isShutDown()) {
    TimePoint Begin = Clock::now();
    bool ReadRows = Begin >= NextRead;
    if (ReadRows)
      NextRead = Begin + ReadInterval;
    if (Begin >= NextTry) {
      if (auto Maintained = Engine.maintainView(ReadRows)) {
        Backoff.succeed();
        Failing = false;
      } else {
        if (!std::exchange(Failing, true))
          logStoreFailure("view", Maintained.error());
        NextTry = Clock::now() + Backoff.fail();
        NextRead = std::max(NextRead, NextTry);
      }
    }
    // The first heartbeat follows the joining at once.
    if (std::uint64_t Version = Engine.view()->version();
        std::exchange(LastVersion, Version) != Version)
      HeartbeatWake.wake();
    ViewWake.waitUntil(NextRead);
  }
}

auto MembershipRunner::Implementation::runPeers() -> void {
  Milliseconds Interval = Timing.PeerHeartbeatInterval;
  std::uint64_t LastVersion = 0;
  while (!PeerWake.isShutDown()) {
    TimePoint Begin = Clock::now();
    Engine.sendHeartbeats();
    // A peer may adopt the view just after its reply, of which nothing tells
    // this host. Requests wait meanwhile, so it asks again soon.
    std::uint64_t Version = Engine.view()->version();
    if (Engine.settled())
      Interval = Timing.PeerHeartbeatInterval;
    else if (std::exchange(LastVersion, Version) != Version)
      Interval = ShortestPeerInterval;
    else
      Interval = std::min(2 * Interval, Timing.PeerHeartbeatInterval);
    if (PeerWake.waitUntil(Begin + Interval))
      std::this_thread::sleep_until(Begin + ShortestPeerInterval);
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
    std::vector<ViewListener> Called;
    {
      std::lock_guard Lock(ListenersMutex);
      Called = Listeners;
    }
    std::shared_ptr<const View> Previous = std::exchange(Last, Newest);
    for (const auto &Entry : Called)
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
                  "a removed host could still serve; raise the limit");
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

auto MembershipRunner::addViewListener(ViewListener Added) -> void {
  Body->addViewListener(std::move(Added));
}

auto MembershipRunner::reportFreeSlots(std::uint32_t FreeSlots) -> void {
  Body->Engine.reportFreeSlots(FreeSlots);
}

auto MembershipRunner::prepareToLeave(Milliseconds Timeout) -> Result<void> {
  Body->Engine.requestLeaving();
  bool Done = Body->Engine.waitFor(
      [](const MembershipState &State) {
        if (!State.isMember())
          return true;
        // The configuration plays no part here, so any version is accepted.
        auto Decision = State.servingDecision(
            std::numeric_limits<std::uint64_t>::max(), Clock::now());
        return State.view()->find(State.self().Name)->State ==
                   MemberState::Leaving &&
               std::holds_alternative<ServingPermitted>(Decision);
      },
      Clock::now() + Timeout);
  if (Done)
    return success();
  return Error::make(ErrorKind::Timeout, "membership/view",
                     "this host could not be marked as leaving in time",
                     "its racks and shards move when the others miss it");
}

auto MembershipRunner::leave(Milliseconds Timeout) -> Result<void> {
  Body->Engine.requestRemoval();
  bool Done = Body->Engine.waitFor(
      [](const MembershipState &State) { return !State.isMember(); },
      Clock::now() + Timeout);
  if (Done)
    return success();
  return Error::make(ErrorKind::Timeout, "membership/view",
                     "no view without this host was confirmed in time",
                     "the other members remove it when they miss it");
}

} // namespace jayramp
