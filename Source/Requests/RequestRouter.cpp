#include "Requests/RequestRouter.h"

#include "Base/EventLog.h"
#include "Base/Identifier.h"
#include "Base/Metrics.h"
#include "Configuration/Configuration.h"
#include "Membership/MembershipRunner.h"
#include "Platform/RequestAttempt.h"
#include "Platform/TimerThread.h"
#include "Platform/WorkerClient.h"
#include "Requests/ClaimAnswer.h"
#include "Requests/ConfigurationDefaults.h"
#include "Requests/KeyCoordinator.h"
#include "Requests/OutcomeMapping.h"
#include "Requests/PendingRequest.h"
#include "Requests/PendingTable.h"
#include "Requests/RequestQueue.h"
#include "Requests/SlotBroker.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace jayramp {

namespace {

using RequestPointer = std::shared_ptr<PendingRequest>;

// A planned change of view moves a shard within about 10 ms. With an initial
// delay of 20 ms the p99 latency during a rolling restart was three times that
// of the steady state.
constexpr Milliseconds InitialClaimRetryDelay{5};
constexpr Milliseconds MaximumClaimRetryDelay{200};
// Interval of slot requests to peers while requests are waiting.
constexpr Milliseconds PeerRequestInterval{20};
// An attempt without an answer for this many times its expected run time counts
// as a failure of the worker even if the caller's deadline ended it.
constexpr int NoAnswerFactor = 3;
constexpr Milliseconds ReassertRetryDelay{200};
constexpr std::uint32_t RetryAfterRefusalMs = 1000;
constexpr std::uint32_t RetryAfterRebalancingMs = 500;
// A change of view with every member alive is complete within one exchange of
// heartbeats; the takeover from a lost member is complete within 4 s.
constexpr Milliseconds ViewSettlePollInterval{2};
constexpr Milliseconds FencedRetryDelay{10};
constexpr Milliseconds MaximumViewSettleWait{4000};

auto retryReason(const AttemptOutcome &Result) -> v1::Reason {
  if (const auto *Refused = std::get_if<AttemptRefused>(&Result)) {
    if (Refused->Reason == "leaving")
      return v1::WORKER_LEAVING;
    return Refused->Reason == "fenced" ? v1::FENCED : v1::WORKER_BUSY;
  }
  if (std::holds_alternative<AttemptNotSent>(Result))
    return v1::WORKER_UNREACHABLE;
  if (const auto *Broken = std::get_if<AttemptInterrupted>(&Result))
    return Broken->ResponseTruncated ? v1::ANSWER_INCOMPLETE
                                     : v1::CONNECTION_LOST;
  return v1::WORKER_FAILED;
}

/// Returns whether a claim must be reported to its home once more.
auto mustRepeatReassert(peer::v1::ClaimDecision Decision) -> bool {
  return Decision == peer::v1::CLAIM_DECISION_UNSPECIFIED ||
         Decision == peer::v1::CLAIM_NO_REPLICA ||
         Decision == peer::v1::CLAIM_REBALANCING ||
         Decision == peer::v1::CLAIM_WRONG_VIEW;
}

auto toReason(ServingRefusalReason Refusal) -> v1::Reason {
  v1::Reason Reason = v1::STALE_VIEW;
  v1::Reason_Parse(std::string(toString(Refusal)), &Reason);
  return Reason;
}

auto reasonLabel(v1::Reason Reason) -> std::string {
  return "reason=\"" + v1::Reason_Name(Reason) + "\"";
}

} // namespace

class RequestRouter::Implementation
    : public std::enable_shared_from_this<Implementation> {
public:
  Implementation(Options Settings, MembershipRunner &Membership,
                 KeyCoordinator &Keys, SlotBroker &Slots, WorkerClient &Workers,
                 TimerThread &Timer, Metrics &Counters)
      : Settings(Settings), Membership(Membership), Keys(Keys), Slots(Slots),
        Workers(Workers), Timer(Timer), Counters(Counters),
        Queue(Settings.MaximumQueue) {}

  auto submit(const v1::SubmitRequest &Request, OutcomeCallback Respond)
      -> void;
  auto cancel(const std::string &Account, const std::string &Key,
              const OutcomeCallback &Respond) -> Result<void>;
  auto reassertClaims() -> void;
  auto applyConfiguration(const Configuration &NewConfiguration) -> void;
  auto dispatchWaiting() -> void;

  std::atomic<bool> RefusesNewRequests{false};
  std::atomic<std::size_t> InProgressCount{0};

private:
  auto cancelUnlessRunning(const RequestPointer &Entry) -> bool;
  auto reassert(const RequestPointer &Entry, std::uint64_t Round) -> void;
  auto dispatchWaitingOnce() -> void;
  auto checkMayDispatch(const RequestPointer &Entry)
      -> std::optional<ServingRefused>;
  auto handleDispatchRefusal(const RequestPointer &Entry,
                             const ServingRefused &Refusal) -> void;
  auto claimKey(const RequestPointer &Entry) -> void;
  auto onClaimAnswer(const RequestPointer &Entry, const ClaimAnswer &Answer)
      -> void;
  auto retryClaim(const RequestPointer &Entry, v1::Reason Reason, bool NewId)
      -> void;
  auto finishWithRecordedOutcome(const RequestPointer &Entry,
                                 const KeyRecord &Record) -> void;
  auto enqueue(const RequestPointer &Entry) -> void;
  auto requestPeerSlots(std::size_t Waiting) -> void;
  auto dispatchWithGrant(const SlotGrant &Grant) -> void;
  auto dispatch(const RequestPointer &Entry, const SlotGrant &Grant) -> void;
  auto onAttemptResult(const RequestPointer &Entry, std::uint32_t Number,
                       const SlotGrant &Grant, TimePoint StartedAt,
                       const AttemptOutcome &Result) -> void;
  auto applyAttemptDecision(const RequestPointer &Entry,
                            const AttemptDecision &Decision, v1::Reason Reason)
      -> void;
  auto retryOrClose(const RequestPointer &Entry, const std::string &Detail,
                    v1::Reason Reason) -> void;
  /// Claims or queues a request; while a change of view is in progress, checks
  /// again until \p WaitUntil.
  auto admit(const RequestPointer &Entry, TimePoint WaitUntil) -> void;
  auto onDeadline(const RequestPointer &Entry) -> void;
  auto finish(const RequestPointer &Entry, v1::RequestOutcome Outcome) -> void;
  auto runAfter(Milliseconds Delay,
                std::function<void(Implementation &)> Function) -> void;

  Options Settings;
  MembershipRunner &Membership;
  KeyCoordinator &Keys;
  SlotBroker &Slots;
  WorkerClient &Workers;
  TimerThread &Timer;
  Metrics &Counters;
  std::atomic<std::uint64_t> NextId{1};
  PendingTable PendingRequests;
  std::atomic<std::uint64_t> ReassertRound{0};
  RequestQueue Queue;
  std::atomic<bool> PeerRequestScheduled{false};
};

auto RequestRouter::Implementation::runAfter(
    Milliseconds Delay, std::function<void(Implementation &)> Function)
    -> void {
  std::weak_ptr<Implementation> Weak = weak_from_this();
  Timer.schedule(Clock::now() + Delay, [Weak, Function] {
    if (auto Self = Weak.lock())
      Function(*Self);
  });
}

auto RequestRouter::Implementation::submit(const v1::SubmitRequest &Request,
                                           OutcomeCallback Respond) -> void {
  auto Entry = std::make_shared<PendingRequest>(
      NextId.fetch_add(1), Request, std::move(Respond), Clock::now());
  Entry->ClaimId = makeIdentifier();
  ++InProgressCount;
  PendingRequests.insert(Entry);
  runAfter(Milliseconds(Request.deadline_ms()),
           [Entry](Implementation &Self) { Self.onDeadline(Entry); });
  admit(Entry, Clock::now() + MaximumViewSettleWait);
}

auto RequestRouter::Implementation::admit(const RequestPointer &Entry,
                                          TimePoint WaitUntil) -> void {
  {
    std::lock_guard Lock(Entry->Mutex);
    if (Entry->Finished)
      return;
  }
  if (RefusesNewRequests.load())
    return finish(Entry, makeOutcome(v1::NOT_RUN, v1::STOPPING,
                                     "this entry host is stopping",
                                     RetryAfterRebalancingMs));
  auto Serving = Membership.servingDecision();
  if (const auto *Refused = std::get_if<ServingRefused>(&Serving)) {
    v1::Reason Reason = toReason(Refused->Reason);
    if (Reason == v1::REBALANCING && Clock::now() < WaitUntil) {
      std::lock_guard Lock(Entry->Mutex);
      Entry->DeadlineReason = Reason;
      return runAfter(ViewSettlePollInterval,
                      [Entry, WaitUntil](Implementation &Self) {
                        Self.admit(Entry, WaitUntil);
                      });
    }
    return finish(Entry, makeOutcome(v1::NOT_RUN, Reason, Refused->Detail,
                                     RetryAfterRebalancingMs));
  }
  Entry->Request.idempotent() ? enqueue(Entry) : claimKey(Entry);
}

auto RequestRouter::Implementation::claimKey(const RequestPointer &Entry)
    -> void {
  std::string ClaimId;
  {
    std::lock_guard Lock(Entry->Mutex);
    if (Entry->Finished)
      return;
    ClaimId = Entry->ClaimId;
    Entry->ClaimSent = true;
  }
  auto Self = shared_from_this();
  Keys.claim(Entry->Request.account(), Entry->Request.key(), ClaimId,
             [Self, Entry](const ClaimAnswer &Answer) {
               Self->onClaimAnswer(Entry, Answer);
             });
}

auto RequestRouter::Implementation::onClaimAnswer(const RequestPointer &Entry,
                                                  const ClaimAnswer &Answer)
    -> void {
  switch (Answer.Decision) {
  case peer::v1::CLAIM_GRANTED: {
    bool AlreadyFinished = false;
    {
      std::lock_guard Lock(Entry->Mutex);
      AlreadyFinished = Entry->Finished;
      Entry->HoldsClaim = !AlreadyFinished;
      Entry->ClaimIncarnation = Answer.Record.HolderIncarnation;
    }
    // The request ended while the claim was in flight, so it never ran.
    if (AlreadyFinished)
      return Keys.reportOutcome(Entry->Request.account(), Entry->Request.key(),
                                Answer.Record.ClaimId, true, {});
    return enqueue(Entry);
  }
  case peer::v1::CLAIM_DONE:
    return finishWithRecordedOutcome(Entry, Answer.Record);
  case peer::v1::CLAIM_IN_PROGRESS:
    return retryClaim(Entry, v1::KEY_IN_PROGRESS, false);
  case peer::v1::CLAIM_ENDED:
    return retryClaim(Entry, v1::REBALANCING, true);
  case peer::v1::CLAIM_REBALANCING:
  case peer::v1::CLAIM_WRONG_VIEW:
    return retryClaim(Entry, v1::REBALANCING, false);
  case peer::v1::CLAIM_HISTORY_LOST:
    return finish(Entry,
                  makeOutcome(v1::UNKNOWN, v1::HISTORY_LOST,
                              "the record of this key was lost with its entry "
                              "hosts; it may have run before",
                              0));
  case peer::v1::CLAIM_REGISTRY_FULL:
    return finish(Entry,
                  makeOutcome(v1::NOT_RUN, v1::OUT_OF_MEMORY,
                              "the key registry is full", RetryAfterRefusalMs));
  default:
    return retryClaim(Entry, v1::NO_REPLICA, false);
  }
}

auto RequestRouter::Implementation::retryClaim(const RequestPointer &Entry,
                                               v1::Reason Reason, bool NewId)
    -> void {
  Milliseconds Delay;
  {
    std::lock_guard Lock(Entry->Mutex);
    if (Entry->Finished)
      return;
    Entry->DeadlineReason = Reason;
    // OtherClaimSeen stays set if the home changes later, because the request
    // of the other claim may have run.
    Entry->OtherClaimSeen |= Reason == v1::KEY_IN_PROGRESS;
    if (NewId)
      Entry->ClaimId = makeIdentifier();
    // The delay doubles only every fourth time, as most moved shards are ready
    // within four retries.
    Delay = std::min(InitialClaimRetryDelay *
                         (1 << std::min(Entry->ClaimRetryCount / 4, 6U)),
                     MaximumClaimRetryDelay);
    ++Entry->ClaimRetryCount;
  }
  Counters.count("jayramp_retries_total", reasonLabel(Reason));
  runAfter(Delay, [Entry](Implementation &Self) { Self.claimKey(Entry); });
}

auto RequestRouter::Implementation::finishWithRecordedOutcome(
    const RequestPointer &Entry, const KeyRecord &Record) -> void {
  v1::RequestOutcome Outcome;
  if (Record.IsOutcomeUnknown || !Outcome.ParseFromString(Record.Outcome) ||
      Outcome.outcome() == v1::OUTCOME_UNSPECIFIED)
    Outcome = makeOutcome(v1::UNKNOWN, v1::ENTRY_HOST_LOST,
                          "the entry host that held the request was lost", 0);
  Counters.count("jayramp_recorded_outcomes_total");
  finish(Entry, std::move(Outcome));
}

auto RequestRouter::Implementation::enqueue(const RequestPointer &Entry)
    -> void {
  PushDecision Decision;
  TimePoint Now = Clock::now();
  {
    std::lock_guard Lock(Entry->Mutex);
    if (Entry->Finished)
      return;
    Entry->DeadlineReason = v1::DEADLINE_EXCEEDED;
    Decision = Queue.push(*Entry, Now);
  }
  if (std::holds_alternative<PushQueued>(Decision))
    return dispatchWaiting();
  auto RetryAfter = RetryAfterRefusalMs;
  v1::Reason Reason = v1::QUEUE_FULL;
  std::string Detail = "the account's queue on this entry host is full";
  if (const auto *TooShort = std::get_if<PushDeadlineTooShort>(&Decision)) {
    Reason = v1::DEADLINE_TOO_SHORT;
    Detail = "the estimated wait of " +
             std::to_string(TooShort->EstimatedWait.count()) +
             " ms exceeds the deadline";
    RetryAfter = static_cast<std::uint32_t>(TooShort->EstimatedWait.count());
  } else if (const auto *Full =
                 std::get_if<PushAccountLimitReached>(&Decision)) {
    RetryAfter = std::max<std::uint32_t>(1, Full->RetryAfter.count());
  }
  // The tracker decides the outcome, because the refused request may be a retry
  // whose earlier attempt may have run.
  RequestOutcome ClosedOutcome;
  {
    std::lock_guard Lock(Entry->Mutex);
    ClosedOutcome = Entry->Tracker.settleWithoutAnswer(Detail);
  }
  auto Outcome = toMessage(ClosedOutcome, Reason);
  Outcome.set_retry_after_ms(RetryAfter);
  finish(Entry, std::move(Outcome));
}

// Releasing a slot or ending an attempt inside dispatchWaitingOnce() calls this
// function again. Without the guard the recursion would be as deep as the
// number of queued requests that are refused.
auto RequestRouter::Implementation::dispatchWaiting() -> void {
  thread_local bool Running = false;
  thread_local bool RunAgain = false;
  RunAgain = true;
  if (Running)
    return;
  Running = true;
  while (std::exchange(RunAgain, false))
    dispatchWaitingOnce();
  Running = false;
}

auto RequestRouter::Implementation::dispatchWaitingOnce() -> void {
  while (auto Next = Queue.popWithSlot([this](const QueueEntry &Waiting) {
    return Slots.acquire(Waiting.Class, {});
  })) {
    if (auto Entry = PendingRequests.find(Next->Entry.Id))
      dispatch(Entry, Next->Grant);
    else
      Slots.release(Next->Grant, {});
  }
  std::size_t Waiting = Queue.size();
  if (Waiting > 0)
    requestPeerSlots(Waiting);
}

auto RequestRouter::Implementation::requestPeerSlots(std::size_t Waiting)
    -> void {
  bool ShortWorkWaits = Queue.size(WorkClass::Short) > 0;
  auto Self = shared_from_this();
  Slots.acquireFromPeer(Waiting,
                        ShortWorkWaits ? WorkClass::Short : WorkClass::Long,
                        [Self](std::vector<SlotGrant> Grants) {
                          for (const SlotGrant &Grant : Grants)
                            Self->dispatchWithGrant(Grant);
                          // More requests may be waiting than slots were
                          // granted.
                          if (!Grants.empty())
                            Self->dispatchWaiting();
                        });
  // The slot broker calls dispatchWaiting() when slots of this host's workers
  // become free. Free slots of peers are found only by a further request.
  if (!PeerRequestScheduled.exchange(true))
    runAfter(PeerRequestInterval, [](Implementation &Router) {
      Router.PeerRequestScheduled.store(false);
      Router.dispatchWaiting();
    });
}

auto RequestRouter::Implementation::dispatchWithGrant(const SlotGrant &Grant)
    -> void {
  while (true) {
    auto Next = Queue.popForGrant(Grant);
    if (!Next)
      return Slots.release(Grant, {});
    if (auto Entry = PendingRequests.find(Next->Id))
      return dispatch(Entry, Grant);
  }
}

// Checks immediately before the request is sent, because the process may have
// been suspended and removed from the view in the meantime. A claim is valid
// only for the incarnation to which it was granted: afterwards the home may
// have reported the outcome as unknown and may have removed the key.
auto RequestRouter::Implementation::checkMayDispatch(
    const RequestPointer &Entry) -> std::optional<ServingRefused> {
  auto Serving = Membership.servingDecision();
  if (const auto *Refused = std::get_if<ServingRefused>(&Serving))
    return *Refused;
  if (Entry->Request.idempotent())
    return std::nullopt;
  std::string CurrentIncarnation = Membership.incarnation();
  std::lock_guard Lock(Entry->Mutex);
  if (Entry->ClaimIncarnation == CurrentIncarnation)
    return std::nullopt;
  return ServingRefused{
      ServingRefusalReason::NotMember,
      "this entry host left the view after it was granted the key"};
}

auto RequestRouter::Implementation::handleDispatchRefusal(
    const RequestPointer &Entry, const ServingRefused &Refusal) -> void {
  // A change of view usually takes milliseconds, so the request waits for its
  // end as in admit(), at most until its deadline.
  if (Refusal.Reason == ServingRefusalReason::Rebalancing)
    return runAfter(ViewSettlePollInterval,
                    [Entry](Implementation &Self) { Self.enqueue(Entry); });
  RequestOutcome ClosedOutcome;
  {
    std::lock_guard Lock(Entry->Mutex);
    ClosedOutcome = Entry->Tracker.settleWithoutAnswer(Refusal.Detail);
  }
  finish(Entry, toMessage(ClosedOutcome, toReason(Refusal.Reason)));
}

auto RequestRouter::Implementation::dispatch(const RequestPointer &Entry,
                                             const SlotGrant &Grant) -> void {
  if (auto Refusal = checkMayDispatch(Entry)) {
    Slots.release(Grant, {});
    return handleDispatchRefusal(Entry, *Refusal);
  }
  TimePoint Now = Clock::now();
  std::optional<std::uint32_t> Number;
  {
    std::lock_guard Lock(Entry->Mutex);
    if (!Entry->Finished && Now < Entry->Deadline)
      Number = Entry->Tracker.startAttempt();
    if (Number)
      Entry->Worker = Grant.Worker;
  }
  if (!Number)
    return Slots.release(Grant, {});
  if (*Number == 1)
    Queue.recordFirstAttempt();
  Counters.observe("jayramp_queue_seconds",
                   "class=\"" + std::string(toString(Entry->Class)) + "\"",
                   Now - Entry->QueuedAt);
  auto TimeLeft =
      std::chrono::duration_cast<Milliseconds>(Entry->Deadline - Now) +
      Milliseconds(1);
  RequestAttempt Attempt{.WorkerAddress = Grant.WorkerAddress,
                         .Account = Entry->Request.account(),
                         .Key = Entry->Request.key(),
                         .AttemptNumber = *Number,
                         .Epoch = Grant.Epoch,
                         .Timeout = std::min(Settings.AttemptTimeout, TimeLeft),
                         .Idempotent = Entry->Request.idempotent(),
                         .Payload = Entry->Request.payload()};
  auto Self = shared_from_this();
  std::uint32_t AttemptNumber = *Number;
  Workers.execute(std::move(Attempt), [Self, Entry, AttemptNumber, Grant,
                                       Now](const AttemptOutcome &Result) {
    Self->onAttemptResult(Entry, AttemptNumber, Grant, Now, Result);
  });
}

auto RequestRouter::Implementation::onAttemptResult(
    const RequestPointer &Entry, std::uint32_t Number, const SlotGrant &Grant,
    TimePoint StartedAt, const AttemptOutcome &Result) -> void {
  auto Latency =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - StartedAt);
  bool Answered = std::holds_alternative<AttemptSucceeded>(Result);
  bool Failed = std::holds_alternative<AttemptFailed>(Result);
  bool Refused = std::holds_alternative<AttemptRefused>(Result);
  // An attempt that the caller's deadline ended before the worker had time to
  // answer is not counted as a failure. Otherwise the circuits of healthy
  // workers would open at a load peak.
  bool EndedByDeadline =
      std::holds_alternative<AttemptInterrupted>(Result) &&
      Clock::now() >= Entry->Deadline &&
      Latency < NoAnswerFactor * Queue.expectedRunTime(Entry->Request);
  SlotUseResult UseResult{.Latency = std::nullopt,
                          .Answered = Answered,
                          .Failed = !Answered && !Refused && !EndedByDeadline,
                          .Refused = Refused};
  // Latency is recorded only for requests that were classified as short when
  // the slot was granted. For longer requests, a high latency may come from the
  // request as well as from a slow worker.
  if (Answered && Grant.Class == WorkClass::Short)
    UseResult.Latency = Latency;
  if (Answered || Failed)
    Queue.recordRunTime(Entry->Request, Latency);
  const auto *Refusal = std::get_if<AttemptRefused>(&Result);
  if (Refusal && Refusal->Reason == "leaving")
    Slots.markLeaving(Grant.Worker);
  AttemptDecision Decision;
  {
    std::lock_guard Lock(Entry->Mutex);
    Decision = Entry->Tracker.recordAttemptResult(Number, Result);
  }
  Slots.release(Grant, UseResult);
  applyAttemptDecision(Entry, Decision, retryReason(Result));
}

auto RequestRouter::Implementation::applyAttemptDecision(
    const RequestPointer &Entry, const AttemptDecision &Decision,
    v1::Reason Reason) -> void {
  if (const auto *Settled = std::get_if<AttemptSettlesRequest>(&Decision))
    return finish(Entry, toMessage(Settled->Outcome, Reason));
  if (const auto *Retry = std::get_if<AttemptAllowsRetry>(&Decision))
    return retryOrClose(Entry, Retry->Detail, Reason);
  if (std::holds_alternative<AttemptResultLate>(Decision))
    Counters.count("jayramp_late_answers_total");
  else if (std::holds_alternative<AttemptResultDuplicate>(Decision))
    Counters.count("jayramp_duplicate_answers_total");
}

auto RequestRouter::Implementation::retryOrClose(const RequestPointer &Entry,
                                                 const std::string &Detail,
                                                 v1::Reason Reason) -> void {
  std::optional<Milliseconds> Delay;
  // A FENCED retry does not consume the retry budget: the worker did no work,
  // and it refuses every request of this host until the host has adopted the
  // newer view, which would use up the budget.
  if (Clock::now() < Entry->Deadline)
    Delay = Reason == v1::FENCED ? FencedRetryDelay : Queue.takeRetryDelay();
  if (Delay) {
    Counters.count("jayramp_retries_total", reasonLabel(Reason));
    return runAfter(*Delay,
                    [Entry](Implementation &Self) { Self.enqueue(Entry); });
  }
  RequestOutcome ClosedOutcome;
  {
    std::lock_guard Lock(Entry->Mutex);
    ClosedOutcome = Entry->Tracker.settleWithoutAnswer(Detail);
  }
  finish(Entry, toMessage(ClosedOutcome, Reason));
}

auto RequestRouter::Implementation::cancelUnlessRunning(
    const RequestPointer &Entry) -> bool {
  RequestOutcome ClosedOutcome;
  bool OtherClaimMayHaveRun = false;
  {
    std::lock_guard Lock(Entry->Mutex);
    if (Entry->Finished || Entry->Tracker.openAttemptCount() > 0)
      return false;
    OtherClaimMayHaveRun = Entry->OtherClaimSeen && !Entry->HoldsClaim;
    // No attempt can start after this call.
    ClosedOutcome =
        Entry->Tracker.settleWithoutAnswer("the caller cancelled the request");
  }
  Queue.cancel(Entry->Id);
  finish(Entry, OtherClaimMayHaveRun
                    ? makeOutcome(v1::UNKNOWN, v1::KEY_IN_PROGRESS,
                                  "cancelled; another request with this key "
                                  "may have run",
                                  0)
                    : toMessage(ClosedOutcome, v1::CANCELLED));
  return true;
}

auto RequestRouter::Implementation::cancel(const std::string &Account,
                                           const std::string &Key,
                                           const OutcomeCallback &Respond)
    -> Result<void> {
  std::vector<RequestPointer> Found = PendingRequests.findAll(Account, Key);
  if (Found.empty())
    return Error::make(ErrorKind::NotFound, "key",
                       "no request with key " + Key + " is open on this host",
                       "cancel it at the entry host that accepted it");
  RequestPointer NewestCancelled;
  for (const RequestPointer &Entry : Found)
    if (cancelUnlessRunning(Entry) &&
        (!NewestCancelled || NewestCancelled->Id < Entry->Id))
      NewestCancelled = Entry;
  if (!NewestCancelled)
    return Error::make(ErrorKind::Conflict, "key",
                       "the request with key " + Key +
                           " is running at a worker",
                       "wait for its outcome");
  Counters.count("jayramp_cancelled_total");
  v1::RequestOutcome Outcome;
  {
    std::lock_guard Lock(NewestCancelled->Mutex);
    Outcome = NewestCancelled->Outcome;
  }
  Respond(Outcome);
  return success();
}

auto RequestRouter::Implementation::reassertClaims() -> void {
  std::uint64_t Round = ++ReassertRound;
  for (const RequestPointer &Entry : PendingRequests.findNonIdempotent())
    reassert(Entry, Round);
}

auto RequestRouter::Implementation::reassert(const RequestPointer &Entry,
                                             std::uint64_t Round) -> void {
  std::string ClaimId;
  std::string CurrentIncarnation = Membership.incarnation();
  {
    std::lock_guard Lock(Entry->Mutex);
    // A claim is valid only for the incarnation to which it was granted.
    if (Entry->Finished || !Entry->HoldsClaim ||
        ReassertRound.load() != Round ||
        Entry->ClaimIncarnation != CurrentIncarnation)
      return;
    ClaimId = Entry->ClaimId;
  }
  auto Self = shared_from_this();
  Keys.reassert(Entry->Request.account(), Entry->Request.key(), ClaimId,
                [Self, Entry, Round](const ClaimAnswer &Answer) {
                  if (!mustRepeatReassert(Answer.Decision))
                    return;
                  Self->runAfter(ReassertRetryDelay,
                                 [Entry, Round](Implementation &Router) {
                                   Router.reassert(Entry, Round);
                                 });
                });
}

auto RequestRouter::Implementation::onDeadline(const RequestPointer &Entry)
    -> void {
  Queue.cancel(Entry->Id);
  Queue.dropExpired();
  RequestOutcome ClosedOutcome;
  v1::Reason Reason = v1::DEADLINE_EXCEEDED;
  bool OtherClaimMayHaveRun = false;
  {
    std::lock_guard Lock(Entry->Mutex);
    if (Entry->Finished)
      return;
    Reason = Entry->DeadlineReason;
    OtherClaimMayHaveRun = Entry->OtherClaimSeen && !Entry->HoldsClaim;
    ClosedOutcome = Entry->Tracker.settleWithoutAnswer(
        "the deadline passed before the request had an outcome");
  }
  if (OtherClaimMayHaveRun)
    return finish(Entry, makeOutcome(v1::UNKNOWN, v1::KEY_IN_PROGRESS,
                                     "another request with this key had no "
                                     "outcome at the deadline",
                                     0));
  finish(Entry, toMessage(ClosedOutcome, Reason));
}

auto RequestRouter::Implementation::finish(const RequestPointer &Entry,
                                           v1::RequestOutcome Outcome) -> void {
  bool ReportsClaim = false;
  std::string ClaimId;
  {
    std::lock_guard Lock(Entry->Mutex);
    if (std::exchange(Entry->Finished, true))
      return;
    // The home may have granted a claim whose answer was lost. Releasing it
    // makes the key available when the caller repeats the request.
    ReportsClaim = Entry->HoldsClaim ||
                   (Entry->ClaimSent && Outcome.outcome() == v1::NOT_RUN);
    ClaimId = Entry->ClaimId;
    if (Outcome.attempts() == 0)
      Outcome.set_attempts(Entry->Tracker.sentAttemptCount());
    if (Outcome.worker().empty())
      Outcome.set_worker(Entry->Worker);
  }
  Outcome.set_account(Entry->Request.account());
  Outcome.set_key(Entry->Request.key());
  Outcome.set_request_id(Settings.HostName + "-" + std::to_string(Entry->Id));
  Outcome.set_entry_host(Settings.HostName);
  {
    std::lock_guard Lock(Entry->Mutex);
    Entry->Outcome = Outcome;
  }
  bool Released = Outcome.outcome() == v1::NOT_RUN;
  if (ReportsClaim)
    Keys.reportOutcome(
        Entry->Request.account(), Entry->Request.key(), ClaimId, Released,
        Released ? std::string() : serializeForRetention(Outcome));
  PendingRequests.erase(Entry);
  Counters.count("jayramp_requests_total",
                 "outcome=\"" + v1::Outcome_Name(Outcome.outcome()) + "\"");
  if (Released)
    Counters.count("jayramp_refusals_total", reasonLabel(Outcome.reason()));
  Counters.observe("jayramp_request_seconds",
                   "class=\"" + std::string(toString(Entry->Class)) + "\"",
                   Clock::now() - Entry->AcceptedAt);
  logEvent(Outcome.outcome() == v1::ANSWERED ? LogLevel::Debug : LogLevel::Info,
           "request_done",
           {{"request", Outcome.request_id()},
            {"account", Outcome.account()},
            {"key", Outcome.key()},
            {"outcome", v1::Outcome_Name(Outcome.outcome())},
            {"reason", v1::Reason_Name(Outcome.reason())},
            {"worker", Outcome.worker()},
            {"attempts", std::to_string(Outcome.attempts())}});
  Entry->Respond(Outcome);
  --InProgressCount;
}

auto RequestRouter::Implementation::applyConfiguration(
    const Configuration &NewConfiguration) -> void {
  const auto &Document = NewConfiguration.document();
  Slots.setLongLimits(
      valueOrDefault(Document.long_slot_percent(), DefaultLongSlotPercent),
      Milliseconds(
          valueOrDefault(Document.short_limit_ms(), DefaultShortLimitMs)));
  Queue.applyConfiguration(Document);
}

RequestRouter::RequestRouter(Options Settings, MembershipRunner &Membership,
                             KeyCoordinator &Keys, SlotBroker &Slots,
                             WorkerClient &Workers, TimerThread &Timer,
                             Metrics &Counters)
    : Body(std::make_shared<Implementation>(std::move(Settings), Membership,
                                            Keys, Slots, Workers, Timer,
                                            Counters)) {
  std::weak_ptr<Implementation> Weak = Body;
  Slots.setSlotsFreedCallback([Weak] {
    if (auto Self = Weak.lock())
      Self->dispatchWaiting();
  });
}

RequestRouter::~RequestRouter() = default;

auto RequestRouter::submit(const v1::SubmitRequest &Request,
                           OutcomeCallback Respond) -> void {
  Body->submit(Request, std::move(Respond));
}

auto RequestRouter::cancel(const std::string &Account, const std::string &Key,
                           const OutcomeCallback &Respond) -> Result<void> {
  return Body->cancel(Account, Key, Respond);
}

auto RequestRouter::reassertClaims() -> void { Body->reassertClaims(); }

auto RequestRouter::applyConfiguration(const Configuration &NewConfiguration)
    -> void {
  Body->applyConfiguration(NewConfiguration);
}

auto RequestRouter::refuseNewRequests() -> void {
  Body->RefusesNewRequests.store(true);
}

auto RequestRouter::requestsInProgress() const -> std::size_t {
  return Body->InProgressCount.load();
}

} // namespace jayramp
