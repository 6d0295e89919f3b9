#include "Shard/WorkerSession.h"

#include "Base/EventLog.h"

#include <algorithm>
#include <set>

namespace jayramp::shard {

using scheduling::Run;
using scheduling::RunId;
using scheduling::RunPhase;

namespace {

/// A listing this long may be cut; a run that it lacks may still be there.
constexpr std::size_t FullListing = 500;
/// Failed holds after which a worker gets no new tasks.
constexpr unsigned UnreachableAfter = 1;
/// Longest pause between holds of a worker with pending ends.
constexpr Milliseconds IdleHoldInterval{400};
/// Shortest pause between two holds without news.
constexpr Milliseconds MinHoldInterval{40};
/// A draining worker that leaves the registry is taken as gone at once if it
/// has answered this recently.
constexpr Milliseconds RecentContact{3000};

} // namespace

WorkerSession::WorkerSession(Context &Shared, std::string Worker,
                             std::optional<TimePoint> PredecessorLeasesUntil)
    : Shared(Shared), Worker(std::move(Worker)) {
  LeasesUntil = PredecessorLeasesUntil.value_or(TimePoint{});
  HeldOnce = !PredecessorLeasesUntil;
  if (const auto *Entry = Shared.Scheduler.worker(this->Worker)) {
    Incarnation = Entry->Report.Incarnation;
    RecoveredRuns = Entry->Runs;
  }
  // What runs there is known only after the first contact.
  if (!HeldOnce)
    Shared.Scheduler.setReachable(this->Worker, false);
}

auto WorkerSession::report(std::int64_t ClockMs) -> void {
  Unregistered = false;
  LeftForGood = false;
  if (const auto *Entry = Shared.Scheduler.worker(Worker)) {
    if (Entry->Report.Incarnation != Incarnation &&
        Entry->Report.Incarnation != 0) {
      if (OrdersOf.empty())
        resetIncarnation(Entry->Report.Incarnation);
      // Otherwise the next hold tells what the new process runs.
      RemoteClock.forget();
      NextHold = {};
    }
    Address = Entry->Report.Address;
  }
  // Later reports are old; answers to orders tell the time better.
  if (!RemoteClock.isKnown())
    RemoteClock.note(ClockMs);
}

auto WorkerSession::unregistered(bool WasDraining) -> void {
  Unregistered = true;
  LeftForGood = WasDraining && now() - LastContact < RecentContact;
}

auto WorkerSession::idle() const -> bool {
  return Unregistered && OrdersOf.empty();
}

auto WorkerSession::target() const -> WorkerTarget { return {Worker, Address}; }

auto WorkerSession::pump() -> void {
  if (Closed)
    return;
  syncOrders();
  checkLeases();
  std::vector<RunId> Ids;
  for (const auto &[Id, State] : OrdersOf)
    Ids.push_back(Id);
  for (const auto &Id : Ids) {
    const auto *Alive = Shared.Scheduler.run(Id);
    const auto State = OrdersOf.find(Id);
    if (Alive && State != OrdersOf.end() && !Closed)
      pumpRun(*Alive, State->second);
  }
  if (!Closed)
    pumpHold();
}

auto WorkerSession::syncOrders() -> void {
  const auto *Entry = Shared.Scheduler.worker(Worker);
  std::erase_if(OrdersOf, [&](const auto &Item) {
    return !Entry || !Entry->Runs.contains(Item.first);
  });
  if (!Entry)
    return;
  for (const auto &Id : Entry->Runs) {
    if (OrdersOf.contains(Id))
      continue;
    Orders State;
    State.Recovered = RecoveredRuns.contains(Id);
    if (!State.Recovered)
      State.Assignment = Shared.Journal.changeOf(Id.Job);
    OrdersOf.emplace(Id, State);
  }
}

auto WorkerSession::pumpRun(const Run &Alive, Orders &State) -> void {
  const auto Id = Alive.Id;
  if (Alive.Phase == RunPhase::Assigned && isDraining()) {
    if (!State.StartInFlight && (HeldOnce || !State.Recovered))
      withdrawStart(Id, State);
    return;
  }
  if (Alive.Phase == RunPhase::Assigned && !State.Recovered &&
      State.StartsSent == 0 && isHeldBack(Id)) {
    // Its room is of use to jobs that can be recorded.
    Shared.Scheduler.runLost(Id, now());
    Shared.OnChange();
    return;
  }
  if (Alive.Phase == RunPhase::Assigned) {
    const bool Known = HeldOnce || !State.Recovered;
    if (Known && RemoteClock.isKnown() && !State.StartInFlight &&
        now() >= State.NextStart &&
        Shared.Journal.isDurable(State.Assignment) && mayGrant() &&
        Shared.MayStart())
      sendStart(Alive, State);
    return;
  }
  if (Alive.Phase != RunPhase::Stopping)
    return;
  if (!State.Recovered && State.StartsSent == 0) {
    withdrawStart(Id, State);
    return;
  }
  if (!State.StopInFlight && !State.OverUnlessListed && now() >= State.NextStop)
    sendStop(Id);
}

auto WorkerSession::isHeldBack(const RunId &Id) const -> bool {
  const auto *Job = Shared.Scheduler.job(Id.Job);
  return Job && Job->OnHold;
}

auto WorkerSession::isDraining() const -> bool {
  const auto *Entry = Shared.Scheduler.worker(Worker);
  return Entry && Entry->Report.Draining;
}

auto WorkerSession::withdrawStart(const RunId &Id, const Orders &State)
    -> void {
  // A start that was sent may still arrive; a stop makes its number unusable.
  if (!State.Recovered && State.StartsSent == 0)
    Shared.Scheduler.runLost(Id, now());
  else
    Shared.Scheduler.stopRun(Id, scheduling::StopReason::WorkerLeaves);
  Shared.OnChange();
}

auto WorkerSession::sendStart(const Run &Alive, Orders &State) -> void {
  const auto *Job = Shared.Scheduler.job(Alive.Id.Job);
  if (!Job)
    return;
  const auto &Step = Job->Spec.Steps[Alive.Id.Step];
  const auto &Tasks = Job->Progress.Steps[Alive.Id.Step];
  StartOrder Order;
  Order.Run = Alive.Id;
  Order.Payload = Job->Spec.Payload;
  Order.Checkpoint = Tasks[Step.Gang ? 0 : Alive.Id.Index].Checkpoint;
  Order.LeaseUntilMs = RemoteClock.leaseUntil(Shared.Settings.LeaseDuration);
  Order.FencingToken = Shared.FencingToken;
  State.StartInFlight = true;
  ++State.StartsSent;
  noteGrant();
  const auto Timeout = Shared.Settings.OrderTimeout *
                       static_cast<int>(std::min(State.StartsSent, 3U));
  Shared.Port.start(
      target(), Order, Timeout,
      [Self = shared_from_this(), Id = Alive.Id](const OrderReply &Reply) {
        if (!Self->Closed)
          Self->onStartReply(Id, Reply);
      });
}

auto WorkerSession::onStartReply(const RunId &Id, const OrderReply &Reply)
    -> void {
  RemoteClock.note(Reply.WorkerClockMs);
  const auto Found = OrdersOf.find(Id);
  if (Found == OrdersOf.end())
    return;
  auto &State = Found->second;
  State.StartInFlight = false;
  switch (Reply.Outcome) {
  case OrderOutcome::Accepted:
    LastContact = now();
    Shared.Scheduler.runStarted(Id, now());
    break;
  case OrderOutcome::Fenced:
    Shared.OnFenced();
    return;
  case OrderOutcome::RunAlreadyEnded:
    State.OverUnlessListed = now();
    Shared.Scheduler.stopRun(Id, scheduling::StopReason::StartRefused);
    break;
  case OrderOutcome::LeaseExpired:
    State.NextStart = now() + Shared.Settings.RetryDelay;
    break;
  case OrderOutcome::NoCapacity:
  case OrderOutcome::Refused:
  case OrderOutcome::WrongIncarnation:
    abandonStart(Id, State, Reply);
    break;
  case OrderOutcome::Unanswered:
    ++State.StartsUnanswered;
    State.NextStart = now() + MinHoldInterval;
    break;
  }
  if (Reply.Outcome != OrderOutcome::Accepted)
    logEvent(LogLevel::Info, "start-not-accepted",
             {{"run", toString(Id)},
              {"worker", Worker},
              {"outcome", std::to_string(static_cast<int>(Reply.Outcome))},
              {"detail", Reply.Detail}});
  Shared.OnChange();
}

auto WorkerSession::abandonStart(const RunId &Id, const Orders &State,
                                 const OrderReply &Reply) -> void {
  const bool NeverStarts = State.StartsUnanswered == 0 && !State.Recovered;
  if (Reply.Outcome == OrderOutcome::NoCapacity ||
      Reply.Outcome == OrderOutcome::Refused)
    Shared.Scheduler.pauseWorker(Worker, now());
  if (Reply.Outcome == OrderOutcome::WrongIncarnation) {
    Shared.Scheduler.setReachable(Worker, false);
    NextHold = {};
  }
  // An earlier start without an answer may still arrive, so the run number is
  // made unusable by a stop.
  if (NeverStarts)
    Shared.Scheduler.runLost(Id, now());
  else
    Shared.Scheduler.stopRun(Id, scheduling::StopReason::StartRefused);
}

auto WorkerSession::sendStop(const RunId &Id) -> void {
  auto &State = OrdersOf.at(Id);
  State.StopInFlight = true;
  Shared.Port.stop(target(), {Id, Shared.FencingToken},
                   Shared.Settings.OrderTimeout,
                   [Self = shared_from_this(), Id](const OrderReply &Reply) {
                     if (!Self->Closed)
                       Self->onStopReply(Id, Reply);
                   });
}

auto WorkerSession::onStopReply(const RunId &Id, const OrderReply &Reply)
    -> void {
  RemoteClock.note(Reply.WorkerClockMs);
  if (Reply.Outcome == OrderOutcome::Fenced) {
    Shared.OnFenced();
    return;
  }
  const auto Found = OrdersOf.find(Id);
  if (Found == OrdersOf.end())
    return;
  auto &State = Found->second;
  State.StopInFlight = false;
  if (Reply.Outcome == OrderOutcome::Accepted)
    State.OverUnlessListed = now();
  else
    State.NextStop = now() + Shared.Settings.RetryDelay;
  pump();
}

auto WorkerSession::pumpHold() -> void {
  if (HoldInFlight || now() < NextHold || Address.empty())
    return;
  while (!PendingEnds.empty() &&
         Shared.Journal.isDurable(PendingEnds.front().Change)) {
    LastSeenDurable = PendingEnds.front().Number;
    PendingEnds.pop_front();
  }
  if (!PendingEnds.empty()) {
    // Without a commit the same ends would be listed again at once.
    if (now() - LastContact >= IdleHoldInterval)
      sendHold(Milliseconds{0});
    return;
  }
  const auto *Entry = Shared.Scheduler.worker(Worker);
  const bool Probing = Entry && Entry->Registered && !Entry->Reachable;
  if (!OrdersOf.empty())
    sendHold(HeldOnce && HoldFailures == 0 ? holdWait() : Milliseconds{0});
  else if (!HeldOnce || Probing || LastSeenDurable > LastSeenSent)
    sendHold(Milliseconds{0});
}

auto WorkerSession::holdWait() const -> Milliseconds {
  auto Closest = scheduling::RunPollRate::Normal;
  for (const auto &[Id, State] : OrdersOf)
    Closest = std::max(Closest, Shared.Scheduler.pollRateOf(Id, now()));
  return Shared.Settings.renewWaitFor(Closest);
}

auto WorkerSession::sendHold(Milliseconds Wait) -> void {
  RenewOrder Order;
  Order.FencingToken = Shared.FencingToken;
  Order.LastSeenEnd = LastSeenDurable;
  Order.Wait = Wait;
  if (RemoteClock.isKnown() && !OrdersOf.empty() && mayGrant()) {
    Order.LeaseUntilMs = RemoteClock.leaseUntil(Shared.Settings.LeaseDuration);
    noteGrant();
  }
  LastSeenSent = LastSeenDurable;
  HoldInFlight = true;
  Shared.Port.renewLeases(
      target(), Order, Wait + Shared.Settings.RenewReplyMargin,
      [Self = shared_from_this(), SentAt = now()](const RenewReply &Reply) {
        if (!Self->Closed)
          Self->onHoldReply(SentAt, Reply);
      });
}

auto WorkerSession::onHoldReply(TimePoint SentAt, const RenewReply &Reply)
    -> void {
  HoldInFlight = false;
  if (Reply.Outcome == OrderOutcome::Fenced) {
    Shared.OnFenced();
    return;
  }
  if (Reply.Outcome != OrderOutcome::Accepted) {
    onHoldFailure();
    return;
  }
  LastContact = now();
  if (HoldFailures > 0)
    logEvent(LogLevel::Info, "worker-reached", {{"worker", Worker}});
  HoldFailures = 0;
  Shared.Scheduler.setReachable(Worker, true);
  if (Reply.Incarnation != 0 && Reply.Incarnation != Incarnation)
    onOtherIncarnation(Reply);
  RemoteClock.note(Reply.WorkerClockMs);
  takeEnds(Reply.Ended);
  takeRunning(Reply.Running);
  dropUnlisted(SentAt, Reply);
  HeldOnce = true;
  NextHold = now() - SentAt < MinHoldInterval && Reply.Ended.empty()
                 ? now() + MinHoldInterval
                 : now();
  Shared.OnChange();
  pump();
}

auto WorkerSession::takeEnds(const std::vector<ReportedEnd> &Ended) -> void {
  for (const auto &End : Ended) {
    if (End.Number <= LastEndTaken)
      continue;
    LastEndTaken = End.Number;
    Shared.Scheduler.runEnded(End.Run, End.How, End.Checkpoint, now());
    logEvent(LogLevel::Info, "task-ended",
             {{"run", toString(End.Run)},
              {"worker", Worker},
              {"how", std::to_string(static_cast<int>(End.How))}});
    PendingEnds.push_back({End.Number, Shared.Journal.changeOf(End.Run.Job)});
  }
}

auto WorkerSession::takeRunning(const std::vector<ReportedRun> &Running)
    -> void {
  for (const auto &Each : Running) {
    const auto *Alive = Shared.Scheduler.run(Each.Run);
    if (Alive && Alive->Worker == Worker) {
      Shared.Scheduler.runProgressed(Each.Run, Each.Percent, Each.Checkpoint,
                                     now());
      continue;
    }
    // Nobody waits for this run, for example a late start of a dropped job.
    logEvent(LogLevel::Warning, "stray-task-stopped",
             {{"run", toString(Each.Run)}, {"worker", Worker}});
    Shared.Port.stop(target(), {Each.Run, Shared.FencingToken},
                     Shared.Settings.OrderTimeout, [](const OrderReply &) {});
  }
}

auto WorkerSession::dropUnlisted(TimePoint SentAt, const RenewReply &Reply)
    -> void {
  if (Reply.Ended.size() >= FullListing)
    return;
  std::set<RunId> Listed;
  for (const auto &Each : Reply.Running)
    Listed.insert(Each.Run);
  std::vector<RunId> Over;
  for (const auto &[Id, State] : OrdersOf)
    if (State.OverUnlessListed && *State.OverUnlessListed <= SentAt &&
        !State.StartInFlight && !Listed.contains(Id))
      Over.push_back(Id);
  for (const auto &Id : Over)
    Shared.Scheduler.runLost(Id, now());
}

auto WorkerSession::onOtherIncarnation(const RenewReply &Reply) -> void {
  const bool FirstContact = Incarnation == 0;
  logEvent(LogLevel::Info, "worker-incarnation",
           {{"worker", Worker},
            {"before", std::to_string(Incarnation)},
            {"now", std::to_string(Reply.Incarnation)}});
  if (FirstContact) {
    Incarnation = Reply.Incarnation;
    return;
  }
  resetIncarnation(Reply.Incarnation);
  std::set<RunId> Listed;
  for (const auto &Each : Reply.Running)
    Listed.insert(Each.Run);
  for (const auto &Each : Reply.Ended)
    Listed.insert(Each.Run);
  std::vector<RunId> Lost;
  for (const auto &[Id, State] : OrdersOf)
    if (!Listed.contains(Id))
      Lost.push_back(Id);
  for (const auto &Id : Lost) {
    const auto &State = OrdersOf.at(Id);
    // A start that is on its way could begin in the new process.
    if (State.StartInFlight || State.StartsUnanswered > 0)
      Shared.Scheduler.stopRun(Id, scheduling::StopReason::StartRefused);
    else
      Shared.Scheduler.runLost(Id, now());
  }
}

auto WorkerSession::resetIncarnation(std::int64_t Started) -> void {
  Incarnation = Started;
  LastEndTaken = 0;
  LastSeenDurable = 0;
  LastSeenSent = 0;
  PendingEnds.clear();
  RemoteClock.forget();
}

auto WorkerSession::onHoldFailure() -> void {
  ++HoldFailures;
  if (HoldFailures == UnreachableAfter) {
    logEvent(LogLevel::Warning, "worker-unreachable", {{"worker", Worker}});
    Shared.Scheduler.setReachable(Worker, false);
  }
  NextHold = now() + Shared.Settings.RetryDelay * 2;
  checkLeases();
  Shared.OnChange();
}

auto WorkerSession::checkLeases() -> void {
  if (OrdersOf.empty())
    return;
  if (LeftForGood) {
    vanishAll("worker-left");
    return;
  }
  const bool Silent = HoldFailures > 0 || Address.empty();
  if (Silent && now() > LeasesUntil)
    vanishAll("leases-lapsed");
}

auto WorkerSession::vanishAll(const char *Reason) -> void {
  std::vector<RunId> Ids;
  for (const auto &[Id, State] : OrdersOf)
    if (!State.StartInFlight)
      Ids.push_back(Id);
  if (Ids.empty())
    return;
  logEvent(LogLevel::Warning, "runs-lost",
           {{"worker", Worker},
            {"reason", Reason},
            {"runs", std::to_string(Ids.size())}});
  for (const auto &Id : Ids) {
    Shared.Scheduler.runLost(Id, now());
    OrdersOf.erase(Id);
  }
  Shared.OnChange();
}

auto WorkerSession::mayGrant() const -> bool {
  // While a worker does not answer, its leases must be able to run out: every
  // order that it may have received would extend them.
  return HoldFailures == 0 && Shared.MayGrant();
}

auto WorkerSession::noteGrant() -> void {
  LeasesUntil = std::max(
      LeasesUntil,
      now() + WorkerClock::longestLease(Shared.Settings.LeaseDuration));
}

} // namespace jayramp::shard
