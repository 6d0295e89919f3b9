#include "Shard/WorkerOrders.h"

#include "Base/EventLog.h"
#include "Shard/SessionContext.h"

#include <algorithm>
#include <utility>

namespace jayramp::shard {

using scheduling::Run;
using scheduling::RunId;
using scheduling::RunPhase;
using scheduling::StopReason;

namespace {

/// A worker may truncate its list of ended runs at this size, so a run that is
/// missing from such a list may still exist.
constexpr std::size_t TruncatedListingSize = 500;
/// Delay before a start without an answer is sent again.
constexpr Milliseconds UnansweredStartDelay{40};
/// Interval at which an order that must not be sent yet is tried again, and at
/// least which a session with runs is visited.
constexpr Milliseconds BlockedOrderInterval{50};
constexpr Milliseconds MaxVisitInterval{1000};

} // namespace

WorkerOrders::WorkerOrders(SessionContext &SharedContext, WorkerLink &Link,
                           Hooks Session)
    : SharedContext(SharedContext), Link(Link), Session(std::move(Session)) {
  if (const auto *Entry = SharedContext.Scheduler.worker(Link.worker()))
    for (const auto &[Id, LiveRun] : Entry->Runs)
      RecoveredRuns.insert(Id);
}

auto WorkerOrders::sendDue() -> void {
  sync();
  dropOver();
  std::vector<RunId> Ids;
  for (const auto &[Id, State] : OrdersByRun)
    Ids.push_back(Id);
  for (const auto &Id : Ids) {
    const auto *ActiveRun = SharedContext.Scheduler.run(Id);
    const auto State = OrdersByRun.find(Id);
    if (ActiveRun && State != OrdersByRun.end())
      sendOrder(*ActiveRun, State->second);
  }
}

auto WorkerOrders::nextDue() const -> TimePoint {
  auto Due = OrdersByRun.empty() ? TimePoint::max() : now() + MaxVisitInterval;
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
  return Due;
}

auto WorkerOrders::addAwaitedJobs(std::set<std::string> &Jobs) const -> void {
  for (const auto &[Id, State] : OrdersByRun)
    if (!SharedContext.Journal.isDurable(State.Assignment))
      Jobs.insert(State.Assignment.Job);
}

auto WorkerOrders::highestPollRate() const -> scheduling::RunPollRate {
  auto Highest = scheduling::RunPollRate::Normal;
  for (const auto &[Id, State] : OrdersByRun)
    Highest = std::max(Highest, SharedContext.Scheduler.pollRateOf(Id, now()));
  return Highest;
}

auto WorkerOrders::sync() -> void {
  const auto *Entry = SharedContext.Scheduler.worker(Link.worker());
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

auto WorkerOrders::sendOrder(const Run &ActiveRun, RunOrders &State) -> void {
  const auto Id = ActiveRun.Id;
  if (ActiveRun.Phase == RunPhase::Assigned)
    reportStartDelay(Id, State);
  const auto Withdrawal = withdrawalReason();
  if (ActiveRun.Phase == RunPhase::Assigned && Withdrawal) {
    if (!State.StartInFlight && areEarlierStartsKnown(State))
      withdrawStart(Id, State, *Withdrawal);
    return;
  }
  if (ActiveRun.Phase == RunPhase::Assigned && State.isNeverSent() &&
      isHeldBack(Id)) {
    // Frees the capacity for jobs whose progress can be written.
    dropUnsent(Id, RunOverEvidence::JobHeldBack);
    return;
  }
  if (ActiveRun.Phase == RunPhase::Assigned) {
    if (maySendStart(State))
      sendStart(ActiveRun, State);
    return;
  }
  if (ActiveRun.Phase != RunPhase::Stopping)
    return;
  if (State.isNeverSent()) {
    dropUnsent(Id, RunOverEvidence::StoppedUnsent);
    return;
  }
  if (!State.StopInFlight && !State.EndedIfUnlistedAfter &&
      now() >= State.NextStop)
    sendStop(Id);
}

auto WorkerOrders::maySendStart(const RunOrders &State) const -> bool {
  return areEarlierStartsKnown(State) && Link.leases().canGrant() &&
         !State.StartInFlight && now() >= State.NextStart &&
         SharedContext.Journal.isDurable(State.Assignment) &&
         Link.mayGrantLeases() &&
         SharedContext.Freshness.maySendStarts(startTimeout(State));
}

auto WorkerOrders::startTimeout(const RunOrders &State) const -> Milliseconds {
  return std::max(SharedContext.Settings.startTimeout(State.StartAttempts + 1),
                  SharedContext.Answers.timeout());
}

auto WorkerOrders::areEarlierStartsKnown(const RunOrders &State) const -> bool {
  return Link.life().hasAnswered() || !State.Recovered;
}

auto WorkerOrders::reportStartDelay(const RunId &Id, const RunOrders &State)
    -> void {
  if (!StartDelayLog::isLong(State.PlacedAt, now()))
    return;
  if (const auto Reason = startConditions(State).delayReason())
    SharedContext.StartDelays.report(
        {Id, Link.worker(), *Reason, State.PlacedAt}, now());
}

auto WorkerOrders::startConditions(const RunOrders &State) const
    -> StartConditions {
  StartConditions Conditions;
  Conditions.RunsKnown = areEarlierStartsKnown(State);
  Conditions.WorkerAnswers =
      !Link.life().isSilent() && State.areStartsAnswered();
  Conditions.AnswerPending = State.StartInFlight;
  Conditions.RetryDue = now() >= State.NextStart;
  Conditions.Durable = SharedContext.Journal.isDurable(State.Assignment);
  Conditions.WorkerListFresh =
      SharedContext.Freshness.isWorkerListFresh(startTimeout(State));
  Conditions.ClosedZonesFresh = SharedContext.Freshness.areClosedZonesFresh();
  Conditions.LeasesPermitted = SharedContext.MayGrantLeases();
  Conditions.ClockKnown = Link.leases().canGrant();
  return Conditions;
}

auto WorkerOrders::isHeldBack(const RunId &Id) const -> bool {
  const auto *Job = SharedContext.Scheduler.job(Id.Job);
  return Job && Job->OnHold;
}

auto WorkerOrders::withdrawalReason() const -> std::optional<StopReason> {
  const auto *Entry = SharedContext.Scheduler.worker(Link.worker());
  if (Entry && Entry->Report.Draining)
    return StopReason::WorkerLeaves;
  if (Entry && Entry->InClosedZone)
    return StopReason::ZoneClosed;
  return std::nullopt;
}

auto WorkerOrders::withdrawStart(const RunId &Id, const RunOrders &State,
                                 StopReason Reason) -> void {
  if (State.isNeverSent()) {
    dropUnsent(Id, RunOverEvidence::Withdrawn);
    return;
  }
  // A start that was sent may still arrive. After a stop, the worker rejects
  // the run number.
  SharedContext.Scheduler.stopRun(Id, Reason);
  SharedContext.OnStateChanged();
}

auto WorkerOrders::dropUnsent(const RunId &Id, RunOverEvidence Evidence)
    -> void {
  Link.concludeRunOver(Id, Evidence);
  SharedContext.OnStateChanged();
}

auto WorkerOrders::sendStart(const Run &ActiveRun, RunOrders &State) -> void {
  const auto *Job = SharedContext.Scheduler.job(ActiveRun.Id.Job);
  if (!Job)
    return;
  const auto &Step = Job->Spec.Steps[ActiveRun.Id.Step];
  const auto &Tasks = Job->Progress.Steps[ActiveRun.Id.Step];
  StartOrder Order;
  Order.Run = ActiveRun.Id;
  Order.Payload = Job->Spec.Payload;
  Order.Checkpoint = Tasks[Step.Gang ? 0 : ActiveRun.Id.Index].Checkpoint;
  Order.LeaseExpiresAtMs = Link.grantLease();
  Order.FencingToken = SharedContext.FencingToken;
  const auto Timeout = startTimeout(State);
  State.StartInFlight = true;
  if (State.StartAttempts == 0)
    State.FirstStartAt = now();
  ++State.StartsSent;
  ++State.StartAttempts;
  SharedContext.Scheduler.runStartSent(ActiveRun.Id);
  SharedContext.Transport.start(
      Link.target(), Order, Timeout,
      Session.ExpectReply(
          [this, Id = ActiveRun.Id, SentTo = Link.life().incarnation(),
           SentAt = now(), Timeout,
           LeastClockMs =
               Link.leases().clock().lowerBound(now())](const auto &Reply) {
            Link.reportOtherProcess(Id, LeastClockMs, Reply);
            Link.recordClock(SentTo, Reply.WorkerClockMs);
            recordAnswerTime(SentAt, Timeout, Reply);
            onStartReply(Id, Reply);
          }));
}

auto WorkerOrders::recordAnswerTime(TimePoint SentAt, Milliseconds Timeout,
                                    const OrderReply &Reply) -> void {
  const auto Elapsed = now() - SentAt;
  // Only answers of workers show their clock. A silent worker tells nothing of
  // how long the others take.
  if (Reply.WorkerClockMs > 0)
    SharedContext.Answers.recordAnswer(Elapsed);
  else if (Elapsed >= Timeout && Link.life().answers())
    SharedContext.Answers.recordTimeout(Elapsed);
}

auto WorkerOrders::onStartReply(const RunId &Id, const OrderReply &Reply)
    -> void {
  const auto Found = OrdersByRun.find(Id);
  if (Found == OrdersByRun.end())
    return;
  auto &State = Found->second;
  State.StartInFlight = false;
  switch (Reply.Outcome) {
  case OrderOutcome::Accepted:
    Link.recordContact();
    SharedContext.Scheduler.runStarted(Id, now());
    break;
  case OrderOutcome::Fenced:
    SharedContext.OnFenced();
    return;
  case OrderOutcome::RunAlreadyEnded:
    State.EndedIfUnlistedAfter = now();
    SharedContext.Scheduler.stopRun(Id, StopReason::StartRefused);
    break;
  case OrderOutcome::LeaseExpired:
    retryStart(Id, State, Reply, SharedContext.Settings.RetryDelay);
    break;
  case OrderOutcome::NoCapacity:
  case OrderOutcome::Refused:
  case OrderOutcome::WrongIncarnation:
    abandonStart(Id, State, Reply);
    break;
  case OrderOutcome::Unanswered:
    ++State.StartsUnanswered;
    retryStart(Id, State, Reply, UnansweredStartDelay);
    break;
  case OrderOutcome::NotSent:
    --State.StartsSent;
    retryStart(Id, State, Reply, SharedContext.Settings.RetryDelay);
    break;
  }
  if (Reply.Outcome != OrderOutcome::Accepted)
    logEvent(LogLevel::Info, "start-not-accepted",
             {{"run", toString(Id)},
              {"worker", Link.worker()},
              {"outcome", std::to_string(static_cast<int>(Reply.Outcome))},
              {"detail", Reply.Detail},
              {"answer-timeout-ms",
               std::to_string(SharedContext.Answers.timeout().count())}});
  SharedContext.OnStateChanged();
}

auto WorkerOrders::retryStart(const RunId &Id, RunOrders &State,
                              const OrderReply &Reply, Milliseconds Delay)
    -> void {
  if (!isStartOverdue(Id, State))
    State.NextStart = now() + Delay;
  else if (State.isNeverSent())
    dropUnsent(Id, RunOverEvidence::StartNotSent);
  else
    abandonStart(Id, State, Reply);
}

auto WorkerOrders::isStartOverdue(const RunId &Id, const RunOrders &State) const
    -> bool {
  // The runs of a worker that does not answer are over with their leases.
  const auto *ActiveRun = SharedContext.Scheduler.run(Id);
  return ActiveRun && ActiveRun->Phase == RunPhase::Assigned &&
         Link.life().answers() &&
         now() - State.FirstStartAt >= SharedContext.Settings.MaxStartTime;
}

auto WorkerOrders::abandonStart(const RunId &Id, const RunOrders &State,
                                const OrderReply &Reply) -> void {
  const bool CannotStart = State.StartsUnanswered == 0 && !State.Recovered;
  if (Reply.Outcome != OrderOutcome::WrongIncarnation)
    SharedContext.Scheduler.recordStartRefused(Link.worker(), now());
  if (Reply.Outcome == OrderOutcome::WrongIncarnation)
    Session.OnOtherProcess();
  // An earlier start without an answer may still arrive. After a stop, the
  // worker rejects the run number.
  if (CannotStart)
    Link.concludeRunOver(Id, Reply.Outcome == OrderOutcome::WrongIncarnation
                                 ? RunOverEvidence::OtherProcess
                                 : RunOverEvidence::StartRefused);
  else
    SharedContext.Scheduler.stopRun(Id, StopReason::StartRefused);
}

auto WorkerOrders::sendStop(const RunId &Id) -> void {
  auto &State = OrdersByRun.at(Id);
  const auto Timeout = SharedContext.Answers.timeout();
  State.StopInFlight = true;
  SharedContext.Transport.stop(
      Link.target(), {Id, SharedContext.FencingToken}, Timeout,
      Session.ExpectReply(
          [this, Id, SentAt = now(), Timeout](const auto &Reply) {
            recordAnswerTime(SentAt, Timeout, Reply);
            onStopReply(Id, Reply);
          }));
}

auto WorkerOrders::onStopReply(const RunId &Id, const OrderReply &Reply)
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
  Session.OnOrdersDue();
}

auto WorkerOrders::recordListing(TimePoint SentAt, const RenewReply &Reply)
    -> void {
  recordRunning(Reply.Running);
  handleUnlisted(SentAt, Reply);
}

auto WorkerOrders::recordRunning(const std::vector<ReportedRun> &Running)
    -> void {
  for (const auto &Each : Running) {
    const auto *ActiveRun = SharedContext.Scheduler.run(Each.Run);
    if (ActiveRun && ActiveRun->Worker == Link.worker()) {
      SharedContext.Scheduler.runProgressed(Each.Run, Each.Percent,
                                            Each.Checkpoint, now());
      continue;
    }
    // The scheduler does not know this run, for example because a start arrived
    // after its job was dropped.
    logEvent(LogLevel::Warning, "stray-task-stopped",
             {{"run", toString(Each.Run)}, {"worker", Link.worker()}});
    SharedContext.Transport.stop(
        Link.target(), {Each.Run, SharedContext.FencingToken},
        SharedContext.Answers.timeout(), [](const OrderReply &) {});
  }
}

auto WorkerOrders::handleUnlisted(TimePoint SentAt, const RenewReply &Reply)
    -> void {
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
    Link.concludeRunOver(Id, RunOverEvidence::NotListed);
}

auto WorkerOrders::onFormerEnded(const RenewReply &Reply) -> void {
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
    Link.concludeRunOver(Id, RunOverEvidence::NewIncarnation);
}

auto WorkerOrders::dropOver() -> void {
  if (OrdersByRun.empty())
    return;
  if (const auto Evidence = Link.evidenceAgainstRuns()) {
    dropAll(*Evidence);
    return;
  }
  if (!Link.life().isSilent())
    return;
  std::vector<RunId> UnsentRuns;
  for (const auto &[Id, State] : OrdersByRun)
    if (State.isNeverSent())
      UnsentRuns.push_back(Id);
  for (const auto &Id : UnsentRuns)
    dropUnsent(Id, RunOverEvidence::WorkerSilent);
}

auto WorkerOrders::dropAll(RunOverEvidence Evidence) -> void {
  std::vector<RunId> Ids;
  for (const auto &[Id, State] : OrdersByRun)
    if (!State.StartInFlight)
      Ids.push_back(Id);
  if (Ids.empty())
    return;
  logEvent(LogLevel::Warning, "runs-lost",
           {{"worker", Link.worker()},
            {"reason", std::string(toString(Evidence))},
            {"runs", std::to_string(Ids.size())}});
  for (const auto &Id : Ids) {
    const bool IsNeverSent = OrdersByRun.at(Id).isNeverSent();
    Link.concludeRunOver(Id, IsNeverSent ? RunOverEvidence::WorkerSilent
                                         : Evidence);
    OrdersByRun.erase(Id);
  }
  SharedContext.OnStateChanged();
}

} // namespace jayramp::shard
