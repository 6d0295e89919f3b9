#include "Shard/WorkerSession.h"

#include "Base/EventLog.h"
#include "Base/SuspendAwareClock.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jayramp::shard {

using scheduling::Run;
using scheduling::RunId;
using scheduling::RunPhase;
using namespace life_event;

namespace {

/// A worker may truncate its list of ended runs at this size, so a run that is
/// missing from such a list may still exist.
constexpr std::size_t TruncatedListingSize = 500;
/// Interval of renewals while reported ends are not yet durable.
constexpr Milliseconds UncommittedEndsRenewInterval{400};
/// Shortest interval between two renewals that report no end.
constexpr Milliseconds MinRenewInterval{40};
/// Interval of renewals while an end is not acknowledged: the worker lists it
/// in each reply, without delay.
constexpr Milliseconds WithheldEndRenewInterval{400};
/// A worker with an end that must not be acknowledged gets no new tasks, so
/// that its list of ends stays short; renewed at each reply.
constexpr Milliseconds WithheldEndQuarantine{2000};
/// Interval at which an order that must not be sent yet is tried again, and at
/// least which a session with runs is visited.
constexpr Milliseconds BlockedOrderInterval{50};
constexpr Milliseconds MaxVisitInterval{1000};

} // namespace

WorkerSession::WorkerSession(Context &SharedContext, std::string Worker,
                             std::optional<TimePoint> PredecessorLeasesExpireAt)
    : SharedContext(SharedContext),
      SessionNumber(++SharedContext.LastSessionNumber),
      Worker(std::move(Worker)), Ends(SharedContext.Journal),
      Leases(SharedContext.Settings.LeaseDuration,
             SharedContext.Settings.MaxLeaseDuration,
             PredecessorLeasesExpireAt) {
  // Before the first answer, the runs on the worker are not known.
  SharedContext.Scheduler.setReachable(this->Worker, false);
  if (const auto *Entry = SharedContext.Scheduler.worker(this->Worker))
    for (const auto &[Id, LiveRun] : Entry->Runs)
      RecoveredRuns.insert(Id);
}

auto WorkerSession::onReport(const WorkerChange &Change) -> void {
  EntryWrittenAfter = Change.WrittenAfter;
  Address = Change.Report->Address;
  learn(EntrySeen{Change.Report->Incarnation});
  if (Change.Report->Incarnation == Life.incarnation())
    Leases.clock().recordReport(Change.ClockMs, now());
}

auto WorkerSession::onUnregistered(bool WasDraining) -> void {
  learn(EntryRemoved{WasDraining && EntryWrittenAfter &&
                     suspendAwareNow() - *EntryWrittenAfter <
                         SharedContext.Settings.MinEntryLifetime});
}

auto WorkerSession::learn(const Event &Seen) -> bool {
  const auto Before = std::exchange(Life, {});
  auto Result = Before.after(Seen);
  Life = Result.Next;
  if (Before.incarnation() != 0 && Life.incarnation() != Before.incarnation()) {
    Ends = EndAcknowledgement(SharedContext.Journal);
    Leases.onNewIncarnation(now());
  }
  if (Result.AskNow)
    askNow();
  SharedContext.Scheduler.setReachable(Worker, Life.mayReceiveTasks());
  logChange(Before);
  return Result.FormerEnded;
}

auto WorkerSession::logChange(const WorkerLife &Before) const -> void {
  if (Life.isSilent() && !Before.isSilent())
    logEvent(LogLevel::Warning, "worker-unreachable", {{"worker", Worker}});
  if (Life.answers() && Before.isSilent())
    logEvent(LogLevel::Info, "worker-reached", {{"worker", Worker}});
  if (Life.incarnation() != Before.incarnation())
    logEvent(LogLevel::Info, "worker-incarnation",
             {{"worker", Worker},
              {"before", std::to_string(Before.incarnation())},
              {"now", std::to_string(Life.incarnation())}});
}

auto WorkerSession::askNow() -> void {
  // The clock may be that of another process, and a renewal in flight to it
  // would be waited for in vain.
  Leases.clock().reset();
  RenewInFlight = false;
  ++RenewNumber;
  NextRenew = {};
}

auto WorkerSession::isIdle() const -> bool {
  return !Life.isRegistered() && OrdersByRun.empty() && CallsInFlight == 0 &&
         (!Life.answers() || !Ends.isOutstanding());
}

template <typename Reply, typename Handler>
auto WorkerSession::expectReply(Handler Handle)
    -> std::function<void(const Reply &)> {
  ++CallsInFlight;
  return [Self = shared_from_this(), Handle](const Reply &Answer) {
    --Self->CallsInFlight;
    if (!Self->Closed)
      Handle(Answer);
    if (!Self->Closed && Self->isIdle())
      Self->SharedContext.OnIdle(*Self);
  };
}

auto WorkerSession::target() const -> WorkerTarget {
  const bool IsKnown = Life.mayBeGranted() && Leases.canGrant();
  return {Worker, Address, IsKnown ? Life.incarnation() : 0};
}

auto WorkerSession::concludeRunOver(const RunId &Id, RunOverEvidence Evidence)
    -> void {
  // The reply that shows this may also list the run's end.
  if (!SharedContext.Scheduler.run(Id))
    return;
  const auto MsSince = [this](TimePoint Time) {
    return std::to_string(
        std::chrono::duration_cast<Milliseconds>(now() - Time).count());
  };
  logEvent(
      LogLevel::Info, "run-over",
      {{"run", toString(Id)},
       {"worker", Worker},
       {"evidence", std::string(toString(Evidence))},
       {"session", std::to_string(SessionNumber)},
       {"contact-age-ms",
        LastContact == TimePoint() ? "none" : MsSince(LastContact)},
       {"lease-over-ms",
        Leases.expireAt() == TimePoint() ? "none" : MsSince(Leases.expireAt())},
       {"entry-age-ms",
        EntryWrittenAfter
            ? std::to_string((suspendAwareNow() - *EntryWrittenAfter).count())
            : "unknown"},
       {"incarnation", std::to_string(Life.incarnation())},
       {"entry-incarnation", std::to_string(entryIncarnation())}});
  SharedContext.Scheduler.runLost(Id, now());
}

auto WorkerSession::entryIncarnation() const -> std::int64_t {
  const auto *Entry = SharedContext.Scheduler.worker(Worker);
  return Entry ? Entry->Report.Incarnation : 0;
}

auto WorkerSession::reportOtherProcess(const RunId &Id,
                                       std::int64_t LeastClockMs,
                                       const OrderReply &Reply) const -> void {
  if (Reply.WorkerClockMs <= 0 || Reply.WorkerClockMs >= LeastClockMs)
    return;
  logEvent(LogLevel::Warning, "start-answered-by-other-process",
           {{"run", toString(Id)},
            {"worker", Worker},
            {"clock-ms", std::to_string(Reply.WorkerClockMs)},
            {"expected-at-least-ms", std::to_string(LeastClockMs)},
            {"incarnation", std::to_string(Life.incarnation())},
            {"entry-incarnation", std::to_string(entryIncarnation())}});
}

auto WorkerSession::sendDueOrders() -> void {
  if (Closed)
    return;
  syncOrders();
  checkLeases();
  std::vector<RunId> Ids;
  for (const auto &[Id, State] : OrdersByRun)
    Ids.push_back(Id);
  for (const auto &Id : Ids) {
    const auto *ActiveRun = SharedContext.Scheduler.run(Id);
    const auto State = OrdersByRun.find(Id);
    if (ActiveRun && State != OrdersByRun.end() && !Closed)
      sendRunOrder(*ActiveRun, State->second);
  }
  if (Closed)
    return;
  renewIfDue();
  SharedContext.OnOrdersSent(*this);
}

auto WorkerSession::nextDue() const -> TimePoint {
  auto Due = nextRenewal();
  for (const auto &[Id, State] : OrdersByRun) {
    const auto *ActiveRun = SharedContext.Scheduler.run(Id);
    if (!ActiveRun)
      continue;
    if (ActiveRun->Phase == RunPhase::Assigned && !State.StartInFlight &&
        SharedContext.Journal.isDurable(State.Assignment))
      Due = std::min(Due,
                     std::max(State.NextStart, now() + BlockedOrderInterval));
    if (ActiveRun->Phase == RunPhase::Stopping && !State.StopInFlight &&
        !State.EndedIfUnlistedAfter)
      Due = std::min(Due, State.NextStop);
  }
  return OrdersByRun.empty() ? Due : std::min(Due, now() + MaxVisitInterval);
}

auto WorkerSession::nextRenewal() const -> TimePoint {
  if (RenewInFlight || Address.empty())
    return TimePoint::max();
  if (Ends.hasUncommittedEnds())
    return std::max(NextRenew, LastContact + UncommittedEndsRenewInterval);
  return needsRenewal() ? NextRenew : TimePoint::max();
}

auto WorkerSession::needsRenewal() const -> bool {
  return !OrdersByRun.empty() || Life.mustBeAsked() || Ends.isOutstanding();
}

auto WorkerSession::awaitedJobs() const -> std::set<std::string> {
  std::set<std::string> Jobs;
  for (const auto &[Id, State] : OrdersByRun)
    if (!SharedContext.Journal.isDurable(State.Assignment))
      Jobs.insert(State.Assignment.Job);
  Ends.addAwaitedJobs(Jobs);
  return Jobs;
}

auto WorkerSession::syncOrders() -> void {
  const auto *Entry = SharedContext.Scheduler.worker(Worker);
  std::erase_if(OrdersByRun, [&](const auto &Item) {
    return !Entry || !Entry->Runs.contains(Item.first);
  });
  if (!Entry)
    return;
  for (const auto &[Id, LiveRun] : Entry->Runs) {
    if (OrdersByRun.contains(Id))
      continue;
    RunOrders State;
    State.Recovered = RecoveredRuns.contains(Id);
    State.PlacedAt = now();
    if (!State.Recovered)
      State.Assignment = SharedContext.Journal.latestChange(Id.Job);
    OrdersByRun.emplace(Id, State);
  }
}

auto WorkerSession::sendRunOrder(const Run &ActiveRun, RunOrders &State)
    -> void {
  const auto Id = ActiveRun.Id;
  if (ActiveRun.Phase == RunPhase::Assigned)
    reportStartDelay(Id, State);
  const auto Withdrawal = withdrawalReason();
  if (ActiveRun.Phase == RunPhase::Assigned && Withdrawal) {
    if (!State.StartInFlight && isKnown(State))
      withdrawStart(Id, State, *Withdrawal);
    return;
  }
  const bool NeverSent = !State.Recovered && State.StartsSent == 0;
  if (ActiveRun.Phase == RunPhase::Assigned && NeverSent && isHeldBack(Id)) {
    // Frees the capacity for jobs whose progress can be written.
    dropUnsentRun(Id);
    return;
  }
  if (ActiveRun.Phase == RunPhase::Assigned) {
    if (isKnown(State) && Leases.canGrant() && !State.StartInFlight &&
        now() >= State.NextStart &&
        SharedContext.Journal.isDurable(State.Assignment) && mayGrantLeases() &&
        SharedContext.Freshness.maySendStarts())
      sendStart(ActiveRun, State);
    return;
  }
  if (ActiveRun.Phase != RunPhase::Stopping)
    return;
  if (NeverSent) {
    dropUnsentRun(Id);
    return;
  }
  if (!State.StopInFlight && !State.EndedIfUnlistedAfter &&
      now() >= State.NextStop)
    sendStop(Id);
}

auto WorkerSession::isKnown(const RunOrders &State) const -> bool {
  return Life.hasAnswered() || !State.Recovered;
}

auto WorkerSession::reportStartDelay(const RunId &Id, const RunOrders &State)
    -> void {
  if (!StartDelayLog::isLong(State.PlacedAt, now()))
    return;
  if (const auto Reason = startConditions(State).delayReason())
    SharedContext.StartDelays.report({Id, Worker, *Reason, State.PlacedAt},
                                     now());
}

auto WorkerSession::startConditions(const RunOrders &State) const
    -> StartConditions {
  StartConditions Conditions;
  Conditions.RunsKnown = isKnown(State);
  Conditions.WorkerAnswers = !Life.isSilent() && State.StartsUnanswered == 0 &&
                             State.StartsSent == State.StartAttempts;
  Conditions.AnswerPending = State.StartInFlight;
  Conditions.RetryDue = now() >= State.NextStart;
  Conditions.Durable = SharedContext.Journal.isDurable(State.Assignment);
  Conditions.WorkerListFresh = SharedContext.Freshness.isWorkerListFresh();
  Conditions.ClosedZonesFresh = SharedContext.Freshness.areClosedZonesFresh();
  Conditions.LeasesPermitted = SharedContext.MayGrantLeases();
  Conditions.ClockKnown = Leases.canGrant();
  return Conditions;
}

auto WorkerSession::isHeldBack(const RunId &Id) const -> bool {
  const auto *Job = SharedContext.Scheduler.job(Id.Job);
  return Job && Job->OnHold;
}

auto WorkerSession::withdrawalReason() const
    -> std::optional<scheduling::StopReason> {
  const auto *Entry = SharedContext.Scheduler.worker(Worker);
  if (Entry && Entry->Report.Draining)
    return scheduling::StopReason::WorkerLeaves;
  if (Entry && Entry->InClosedZone)
    return scheduling::StopReason::ZoneClosed;
  return std::nullopt;
}

auto WorkerSession::withdrawStart(const RunId &Id, const RunOrders &State,
                                  scheduling::StopReason Reason) -> void {
  if (!State.Recovered && State.StartsSent == 0) {
    dropUnsentRun(Id);
    return;
  }
  // A start that was sent may still arrive. After a stop, the worker rejects
  // the run number.
  SharedContext.Scheduler.stopRun(Id, Reason);
  SharedContext.OnStateChanged();
}

auto WorkerSession::dropUnsentRun(const RunId &Id) -> void {
  concludeRunOver(Id, RunOverEvidence::NeverSent);
  SharedContext.OnStateChanged();
}

auto WorkerSession::sendStart(const Run &ActiveRun, RunOrders &State) -> void {
  const auto *Job = SharedContext.Scheduler.job(ActiveRun.Id.Job);
  if (!Job)
    return;
  const auto &Step = Job->Spec.Steps[ActiveRun.Id.Step];
  const auto &Tasks = Job->Progress.Steps[ActiveRun.Id.Step];
  StartOrder Order;
  Order.Run = ActiveRun.Id;
  Order.Payload = Job->Spec.Payload;
  Order.Checkpoint = Tasks[Step.Gang ? 0 : ActiveRun.Id.Index].Checkpoint;
  Order.LeaseExpiresAtMs = Leases.grant(now());
  Order.FencingToken = SharedContext.FencingToken;
  State.StartInFlight = true;
  ++State.StartsSent;
  ++State.StartAttempts;
  SharedContext.Scheduler.runStartSent(ActiveRun.Id);
  SharedContext.Transport.start(
      target(), Order, SharedContext.Settings.startTimeout(State.StartAttempts),
      expectReply<OrderReply>(
          [this, Id = ActiveRun.Id, SentTo = Life.incarnation(),
           LeastClockMs = Leases.clock().lowerBound(now())](const auto &Reply) {
            reportOtherProcess(Id, LeastClockMs, Reply);
            if (SentTo == Life.incarnation())
              Leases.clock().recordAnswer(Reply.WorkerClockMs, now());
            onStartReply(Id, Reply);
          }));
}

auto WorkerSession::onStartReply(const RunId &Id, const OrderReply &Reply)
    -> void {
  const auto Found = OrdersByRun.find(Id);
  if (Found == OrdersByRun.end())
    return;
  auto &State = Found->second;
  State.StartInFlight = false;
  switch (Reply.Outcome) {
  case OrderOutcome::Accepted:
    LastContact = now();
    SharedContext.Scheduler.runStarted(Id, now());
    break;
  case OrderOutcome::Fenced:
    SharedContext.OnFenced();
    return;
  case OrderOutcome::RunAlreadyEnded:
    State.EndedIfUnlistedAfter = now();
    SharedContext.Scheduler.stopRun(Id, scheduling::StopReason::StartRefused);
    break;
  case OrderOutcome::LeaseExpired:
    State.NextStart = now() + SharedContext.Settings.RetryDelay;
    break;
  case OrderOutcome::NoCapacity:
  case OrderOutcome::Refused:
  case OrderOutcome::WrongIncarnation:
    abandonStart(Id, State, Reply);
    break;
  case OrderOutcome::Unanswered:
    ++State.StartsUnanswered;
    State.NextStart = now() + MinRenewInterval;
    break;
  case OrderOutcome::NotSent:
    --State.StartsSent;
    State.NextStart = now() + SharedContext.Settings.RetryDelay;
    break;
  }
  if (Reply.Outcome != OrderOutcome::Accepted)
    logEvent(LogLevel::Info, "start-not-accepted",
             {{"run", toString(Id)},
              {"worker", Worker},
              {"outcome", std::to_string(static_cast<int>(Reply.Outcome))},
              {"detail", Reply.Detail}});
  SharedContext.OnStateChanged();
}

auto WorkerSession::abandonStart(const RunId &Id, const RunOrders &State,
                                 const OrderReply &Reply) -> void {
  const bool CannotStart = State.StartsUnanswered == 0 && !State.Recovered;
  if (Reply.Outcome == OrderOutcome::NoCapacity ||
      Reply.Outcome == OrderOutcome::Refused)
    SharedContext.Scheduler.pauseWorker(Worker, now());
  if (Reply.Outcome == OrderOutcome::WrongIncarnation)
    learn(OtherProcessFound{});
  // An earlier start without an answer may still arrive. After a stop, the
  // worker rejects the run number.
  if (CannotStart)
    concludeRunOver(Id, RunOverEvidence::StartRefused);
  else
    SharedContext.Scheduler.stopRun(Id, scheduling::StopReason::StartRefused);
}

auto WorkerSession::sendStop(const RunId &Id) -> void {
  auto &State = OrdersByRun.at(Id);
  State.StopInFlight = true;
  SharedContext.Transport.stop(
      target(), {Id, SharedContext.FencingToken},
      SharedContext.Settings.OrderTimeout,
      expectReply<OrderReply>(
          [this, Id](const auto &Reply) { onStopReply(Id, Reply); }));
}

auto WorkerSession::onStopReply(const RunId &Id, const OrderReply &Reply)
    -> void {
  if (Reply.Outcome == OrderOutcome::Fenced) {
    SharedContext.OnFenced();
    return;
  }
  const auto Found = OrdersByRun.find(Id);
  if (Found == OrdersByRun.end())
    return;
  auto &State = Found->second;
  State.StopInFlight = false;
  if (Reply.Outcome == OrderOutcome::Accepted)
    State.EndedIfUnlistedAfter = now();
  else
    State.NextStop = now() + SharedContext.Settings.RetryDelay;
  sendDueOrders();
}

auto WorkerSession::renewIfDue() -> void {
  if (RenewInFlight || now() < NextRenew || Address.empty())
    return;
  Ends.collectDurableEnds();
  if (Ends.hasUncommittedEnds()) {
    // The worker lists the same ends again, without delay, until they are
    // acknowledged, so renewals are sent less often.
    if (now() - LastContact >= UncommittedEndsRenewInterval)
      sendRenewal(Milliseconds{0});
    return;
  }
  const bool MayWait =
      !OrdersByRun.empty() && Life.answers() && Leases.canGrant();
  if (needsRenewal())
    sendRenewal(MayWait ? renewWait() : Milliseconds{0});
}

auto WorkerSession::renewWait() const -> Milliseconds {
  auto HighestPollRate = scheduling::RunPollRate::Normal;
  for (const auto &[Id, State] : OrdersByRun)
    HighestPollRate = std::max(HighestPollRate,
                               SharedContext.Scheduler.pollRateOf(Id, now()));
  return SharedContext.Settings.renewWaitFor(HighestPollRate);
}

auto WorkerSession::sendRenewal(Milliseconds Wait) -> void {
  RenewOrder Order;
  Order.FencingToken = SharedContext.FencingToken;
  Order.Wait = Wait;
  const auto Target = target();
  if (Target.Incarnation != 0) {
    Order.LastSeenEnd = Ends.takeAcknowledgement();
    if (!OrdersByRun.empty() && mayGrantLeases())
      Order.LeaseExpiresAtMs = Leases.grant(now());
  }
  RenewInFlight = true;
  SharedContext.Transport.renewLeases(
      Target, Order, Wait + SharedContext.Settings.RenewReplyMargin,
      expectReply<RenewReply>(
          [this, SentAt = now(), Number = ++RenewNumber](const auto &Reply) {
            if (Number == RenewNumber)
              onRenewReply(SentAt, Reply);
          }));
}

auto WorkerSession::onRenewReply(TimePoint SentAt, const RenewReply &Reply)
    -> void {
  RenewInFlight = false;
  if (Reply.Outcome == OrderOutcome::Fenced) {
    SharedContext.OnFenced();
    return;
  }
  if (Reply.Outcome != OrderOutcome::Accepted) {
    onRenewFailure();
    return;
  }
  LastContact = now();
  if (learn(Answered{Reply.Incarnation}))
    onFormerEnded(Reply);
  Leases.clock().recordAnswer(Reply.WorkerClockMs, now());
  releaseWithheldEnd(Reply.Ended);
  const bool HasNewEnds = recordEnds(Reply.Ended);
  recordRunning(Reply.Running);
  handleUnlistedRuns(SentAt, Reply);
  if (Ends.withheldEnd())
    NextRenew = now() + WithheldEndRenewInterval;
  else if (now() - SentAt < MinRenewInterval && !HasNewEnds)
    NextRenew = now() + MinRenewInterval;
  else
    NextRenew = now();
  SharedContext.OnStateChanged();
  sendDueOrders();
}

auto WorkerSession::recordEnds(const std::vector<ReportedEnd> &Ended) -> bool {
  bool HasNewEnds = false;
  for (const auto &End : Ended) {
    if (Ends.isRecorded(End.Number))
      continue;
    HasNewEnds = true;
    if (!SharedContext.Scheduler.runEnded(End.Run, End.Outcome, End.Checkpoint,
                                          now()))
      withholdEnd(End);
    logEvent(LogLevel::Info, "task-ended",
             {{"run", toString(End.Run)},
              {"worker", Worker},
              {"how", std::to_string(static_cast<int>(End.Outcome))}});
    Ends.record(End.Number, SharedContext.Journal.latestChange(End.Run.Job));
  }
  return HasNewEnds;
}

auto WorkerSession::withholdEnd(const ReportedEnd &End) -> void {
  logEvent(LogLevel::Warning, "end-withheld",
           {{"run", toString(End.Run)}, {"worker", Worker}});
  Ends.withhold({End.Number, End.Run.Job});
}

auto WorkerSession::releaseWithheldEnd(const std::vector<ReportedEnd> &Ended)
    -> void {
  const auto &Withheld = Ends.withheldEnd();
  if (!Withheld)
    return;
  // An end that precedes the expiry of the worker's leases does not count as
  // known. A job that was forgotten is not shown to anyone any more.
  const bool LeasesExpiredSince =
      std::any_of(Ended.begin(), Ended.end(), [&](const ReportedEnd &End) {
        return End.Number > Withheld->Number &&
               End.Outcome == scheduling::RunOutcome::LeaseExpired;
      });
  if (LeasesExpiredSince || !SharedContext.Scheduler.job(Withheld->Job)) {
    Ends.release();
    return;
  }
  SharedContext.Scheduler.quarantineWorker(Worker,
                                           now() + WithheldEndQuarantine);
}

auto WorkerSession::recordRunning(const std::vector<ReportedRun> &Running)
    -> void {
  for (const auto &Each : Running) {
    const auto *ActiveRun = SharedContext.Scheduler.run(Each.Run);
    if (ActiveRun && ActiveRun->Worker == Worker) {
      SharedContext.Scheduler.runProgressed(Each.Run, Each.Percent,
                                            Each.Checkpoint, now());
      continue;
    }
    // The scheduler does not know this run, for example because a start arrived
    // after its job was dropped.
    logEvent(LogLevel::Warning, "stray-task-stopped",
             {{"run", toString(Each.Run)}, {"worker", Worker}});
    SharedContext.Transport.stop(
        target(), {Each.Run, SharedContext.FencingToken},
        SharedContext.Settings.OrderTimeout, [](const OrderReply &) {});
  }
}

auto WorkerSession::handleUnlistedRuns(TimePoint SentAt,
                                       const RenewReply &Reply) -> void {
  if (Reply.Ended.size() >= TruncatedListingSize)
    return;
  std::set<RunId> Listed;
  for (const auto &Each : Reply.Running)
    Listed.insert(Each.Run);
  std::vector<RunId> EndedRuns;
  for (const auto &[Id, State] : OrdersByRun) {
    if (Listed.contains(Id))
      continue;
    if (State.EndedIfUnlistedAfter && *State.EndedIfUnlistedAfter <= SentAt &&
        !State.StartInFlight) {
      EndedRuns.push_back(Id);
      continue;
    }
    const auto *ActiveRun = SharedContext.Scheduler.run(Id);
    if (ActiveRun && ActiveRun->StartedAt <= SentAt)
      SharedContext.Scheduler.runUnlisted(Id, now());
  }
  for (const auto &Id : EndedRuns)
    concludeRunOver(Id, RunOverEvidence::NotListed);
}

auto WorkerSession::onFormerEnded(const RenewReply &Reply) -> void {
  std::set<RunId> Listed;
  for (const auto &Each : Reply.Running)
    Listed.insert(Each.Run);
  for (const auto &Each : Reply.Ended)
    Listed.insert(Each.Run);
  std::vector<RunId> LostRuns;
  for (const auto &[Id, State] : OrdersByRun)
    if (!Listed.contains(Id))
      LostRuns.push_back(Id);
  // No order for the former process reaches the new one, even if it is in
  // flight.
  for (const auto &Id : LostRuns)
    concludeRunOver(Id, RunOverEvidence::NewIncarnation);
}

auto WorkerSession::onRenewFailure() -> void {
  learn(Unanswered{});
  NextRenew = now() + Life.probeDelay(SharedContext.Settings.RetryDelay);
  SharedContext.OnStateChanged();
  sendDueOrders();
}

auto WorkerSession::checkLeases() -> void {
  if (OrdersByRun.empty())
    return;
  if (const auto Evidence = Life.evidenceAgainstRuns(now() > Leases.expireAt()))
    dropAllRuns(*Evidence);
}

auto WorkerSession::dropAllRuns(RunOverEvidence Evidence) -> void {
  std::vector<RunId> Ids;
  for (const auto &[Id, State] : OrdersByRun)
    if (!State.StartInFlight)
      Ids.push_back(Id);
  if (Ids.empty())
    return;
  logEvent(LogLevel::Warning, "runs-lost",
           {{"worker", Worker},
            {"reason", std::string(toString(Evidence))},
            {"runs", std::to_string(Ids.size())}});
  for (const auto &Id : Ids) {
    concludeRunOver(Id, Evidence);
    OrdersByRun.erase(Id);
  }
  SharedContext.OnStateChanged();
}

auto WorkerSession::mayGrantLeases() const -> bool {
  return Life.mayBeGranted() && SharedContext.MayGrantLeases();
}

} // namespace jayramp::shard
