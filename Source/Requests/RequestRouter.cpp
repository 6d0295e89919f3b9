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

using Pending = std::shared_ptr<PendingRequest>;

// A planned change of view moves a shard within some 10 ms. With 20 ms here the
// p99 of a rolling restart was three times that of the steady state.
constexpr Milliseconds FirstClaimDelay{5};
constexpr Milliseconds LongestClaimDelay{200};
// Delay before a peer that reported free slots is asked again.
constexpr Milliseconds PeerAskDelay{20};
// An attempt without an answer for this many times its expected run time counts
// against the worker, whatever its deadline.
constexpr int SilentFactor = 3;
constexpr Milliseconds ReassertDelay{200};
constexpr std::uint32_t RetryAfterRefusalMs = 1000;
constexpr std::uint32_t RetryAfterRebalancingMs = 500;
// A change of view with every member alive settles within one exchange of
// heartbeats; a takeover is complete within 4 s.
constexpr Milliseconds SettlementPoll{2};
constexpr Milliseconds FencedDelay{10};
constexpr Milliseconds LongestSettlement{4000};

auto retryReason(const AttemptOutcome &Result) -> v1::Reason {
  if (const auto *Refused = std::get_if<AttemptRefused>(&Result)) {
    if (Refused->Reason == "leaving")
      return v1::WORKER_LEAVING;
    return Refused->Reason == "fenced" ? v1::FENCED : v1::WORKER_BUSY;
  }
  if (std::holds_alternative<AttemptNotSent>(Result))
    return v1::WORKER_UNREACHABLE;
  if (const auto *Broken = std::get_if<AttemptBroken>(&Result))
    return Broken->AnswerCut ? v1::ANSWER_INCOMPLETE : v1::CONNECTION_LOST;
  return v1::WORKER_FAILED;
}

/// Whether a home has to be told again about a claim that it should hold.
auto repeatsReassert(peer::v1::ClaimDecision Decision) -> bool {
  return Decision == peer::v1::CLAIM_DECISION_UNSPECIFIED ||
         Decision == peer::v1::CLAIM_NO_REPLICA ||
         Decision == peer::v1::CLAIM_REBALANCING ||
         Decision == peer::v1::CLAIM_WRONG_VIEW;
}

auto reasonOf(ServingRefusal Refusal) -> v1::Reason {
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
  auto applyConfiguration(const Configuration &Newer) -> void;
  auto pump() -> void;

  std::atomic<bool> Refusing{false};
  std::atomic<std::size_t> Count{0};

private:
  auto withdraw(const Pending &Entry) -> bool;
  auto reassert(const Pending &Entry, std::uint64_t Round) -> void;
  auto pumpOnce() -> void;
  auto dispatchRefusal(const Pending &Entry) -> std::optional<ServingRefused>;
  auto refuseDispatch(const Pending &Entry, const ServingRefused &Refusal)
      -> void;
  auto claim(const Pending &Entry) -> void;
  auto onClaim(const Pending &Entry, const ClaimAnswer &Answer) -> void;
  auto claimAgain(const Pending &Entry, v1::Reason Reason, bool NewId) -> void;
  auto finishRecorded(const Pending &Entry, const KeyRecord &Record) -> void;
  auto enqueue(const Pending &Entry) -> void;
  auto askPeers(std::size_t Waiting) -> void;
  auto useGrant(const SlotGrant &Grant) -> void;
  auto dispatch(const Pending &Entry, const SlotGrant &Grant) -> void;
  auto onAttempt(const Pending &Entry, std::uint32_t Number,
                 const SlotGrant &Grant, TimePoint StartedAt,
                 const AttemptOutcome &Result) -> void;
  auto afterAttempt(const Pending &Entry, const AttemptDecision &Decision,
                    v1::Reason Reason) -> void;
  auto retryOrClose(const Pending &Entry, const std::string &Detail,
                    v1::Reason Reason) -> void;
  /// Begins the work of a request, or waits while the view settles.
  auto admit(const Pending &Entry, TimePoint WaitUntil) -> void;
  auto onDeadline(const Pending &Entry) -> void;
  auto finish(const Pending &Entry, v1::RequestOutcome Outcome) -> void;
  auto later(Milliseconds Delay, std::function<void(Implementation &)> Function)
      -> void;

  Options Settings;
  MembershipRunner &Membership;
  KeyCoordinator &Keys;
  SlotBroker &Slots;
  WorkerClient &Workers;
  TimerThread &Timer;
  Metrics &Counters;
  std::atomic<std::uint64_t> NextId{1};
  PendingTable Table;
  std::atomic<std::uint64_t> ReassertRound{0};
  RequestQueue Queue;
  std::atomic<bool> AskScheduled{false};
};

auto RequestRouter::Implementation::later(
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
  ++Count;
  Table.insert(Entry);
  later(Milliseconds(Request.deadline_ms()),
        [Entry](Implementation &Self) { Self.onDeadline(Entry); });
  admit(Entry, Clock::now() + LongestSettlement);
}

auto RequestRouter::Implementation::admit(const Pending &Entry,
                                          TimePoint WaitUntil) -> void {
  {
    std::lock_guard Lock(Entry->Mutex);
    if (Entry->Finished)
      return;
  }
  if (Refusing.load())
    return finish(Entry, makeOutcome(v1::NOT_RUN, v1::STOPPING,
                                     "this entry host is stopping",
                                     RetryAfterRebalancingMs));
  auto Serving = Membership.serving();
  if (const auto *Refused = std::get_if<ServingRefused>(&Serving)) {
    v1::Reason Reason = reasonOf(Refused->Refusal);
    if (Reason == v1::REBALANCING && Clock::now() < WaitUntil) {
      std::lock_guard Lock(Entry->Mutex);
      Entry->DeadlineReason = Reason;
      return later(SettlementPoll, [Entry, WaitUntil](Implementation &Self) {
        Self.admit(Entry, WaitUntil);
      });
    }
    return finish(Entry, makeOutcome(v1::NOT_RUN, Reason, Refused->Detail,
                                     RetryAfterRebalancingMs));
  }
  Entry->Request.idempotent() ? enqueue(Entry) : claim(Entry);
}

auto RequestRouter::Implementation::claim(const Pending &Entry) -> void {
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
               Self->onClaim(Entry, Answer);
             });
}

auto RequestRouter::Implementation::onClaim(const Pending &Entry,
                                            const ClaimAnswer &Answer) -> void {
  switch (Answer.Decision) {
  case peer::v1::CLAIM_GRANTED: {
    bool Abandoned = false;
    {
      std::lock_guard Lock(Entry->Mutex);
      Abandoned = Entry->Finished;
      Entry->HoldsClaim = !Abandoned;
      Entry->ClaimIncarnation = Answer.Record.HolderIncarnation;
    }
    // The deadline passed while the claim was under way, so it never ran.
    if (Abandoned)
      return Keys.reportOutcome(Entry->Request.account(), Entry->Request.key(),
                                Answer.Record.ClaimId, true, {});
    return enqueue(Entry);
  }
  case peer::v1::CLAIM_DONE:
    return finishRecorded(Entry, Answer.Record);
  case peer::v1::CLAIM_IN_PROGRESS:
    return claimAgain(Entry, v1::KEY_IN_PROGRESS, false);
  case peer::v1::CLAIM_ENDED:
    return claimAgain(Entry, v1::REBALANCING, true);
  case peer::v1::CLAIM_REBALANCING:
  case peer::v1::CLAIM_WRONG_VIEW:
    return claimAgain(Entry, v1::REBALANCING, false);
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
    return claimAgain(Entry, v1::NO_REPLICA, false);
  }
}

auto RequestRouter::Implementation::claimAgain(const Pending &Entry,
                                               v1::Reason Reason, bool NewId)
    -> void {
  Milliseconds Delay;
  {
    std::lock_guard Lock(Entry->Mutex);
    if (Entry->Finished)
      return;
    Entry->DeadlineReason = Reason;
    // Stays set when the home changes later: the other claim may have run.
    Entry->OtherClaimSeen |= Reason == v1::KEY_IN_PROGRESS;
    if (NewId)
      Entry->ClaimId = makeIdentifier();
    // Grows slowly: most moved shards are ready within four repeats.
    Delay = std::min(FirstClaimDelay *
                         (1 << std::min(Entry->ClaimRetryCount / 4, 6U)),
                     LongestClaimDelay);
    ++Entry->ClaimRetryCount;
  }
  Counters.count("jayramp_retries_total", reasonLabel(Reason));
  later(Delay, [Entry](Implementation &Self) { Self.claim(Entry); });
}

auto RequestRouter::Implementation::finishRecorded(const Pending &Entry,
                                                   const KeyRecord &Record)
    -> void {
  v1::RequestOutcome Outcome;
  if (Record.IsOutcomeUnknown || !Outcome.ParseFromString(Record.Outcome) ||
      Outcome.outcome() == v1::OUTCOME_UNSPECIFIED)
    Outcome = makeOutcome(v1::UNKNOWN, v1::ENTRY_HOST_LOST,
                          "the entry host that held the request was lost", 0);
  Counters.count("jayramp_recorded_outcomes_total");
  finish(Entry, std::move(Outcome));
}

auto RequestRouter::Implementation::enqueue(const Pending &Entry) -> void {
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
    return pump();
  auto RetryAfter = RetryAfterRefusalMs;
  v1::Reason Reason = v1::QUEUE_FULL;
  std::string Detail = "the account's queue on this entry host is full";
  if (const auto *Short = std::get_if<PushDeadlineTooShort>(&Decision)) {
    Reason = v1::DEADLINE_TOO_SHORT;
    Detail = "the estimated wait of " +
             std::to_string(Short->EstimatedWait.count()) +
             " ms exceeds the deadline";
    RetryAfter = static_cast<std::uint32_t>(Short->EstimatedWait.count());
  } else if (const auto *Full =
                 std::get_if<PushAccountLimitReached>(&Decision)) {
    RetryAfter = std::max<std::uint32_t>(1, Full->RetryAfter.count());
  }
  // Only first attempts can be refused here: a queued retry keeps its place in
  // the tracker, which tells whether an earlier attempt may have run.
  RequestOutcome Closed;
  {
    std::lock_guard Lock(Entry->Mutex);
    Closed = Entry->Tracker.settleWithoutAnswer(Detail);
  }
  auto Outcome = toMessage(Closed, Reason);
  Outcome.set_retry_after_ms(RetryAfter);
  finish(Entry, std::move(Outcome));
}

// Releasing a slot or ending an attempt inside pumpOnce() calls this again.
// Without the guard a queue of refused requests recurses once per request.
auto RequestRouter::Implementation::pump() -> void {
  thread_local bool Running = false;
  thread_local bool Again = false;
  Again = true;
  if (Running)
    return;
  Running = true;
  while (std::exchange(Again, false))
    pumpOnce();
  Running = false;
}

auto RequestRouter::Implementation::pumpOnce() -> void {
  while (auto Next = Queue.popWithSlot([this](const QueueEntry &Waiting) {
    return Slots.acquire(Waiting.Class, {});
  })) {
    if (auto Entry = Table.find(Next->Entry.Id))
      dispatch(Entry, Next->Grant);
    else
      Slots.release(Next->Grant, {});
  }
  std::size_t Waiting = Queue.size();
  if (Waiting > 0)
    askPeers(Waiting);
}

auto RequestRouter::Implementation::askPeers(std::size_t Waiting) -> void {
  bool ShortWaits = Queue.size(WorkClass::Short) > 0;
  auto Self = shared_from_this();
  Slots.acquireFromPeer(Waiting,
                        ShortWaits ? WorkClass::Short : WorkClass::Long,
                        [Self](std::vector<SlotGrant> Grants) {
                          for (const SlotGrant &Grant : Grants)
                            Self->useGrant(Grant);
                          // More may wait than this answer granted.
                          if (!Grants.empty())
                            Self->pump();
                        });
  // Slots of own workers call pump() when they become free; free slots of
  // peers are only seen by asking again.
  if (!AskScheduled.exchange(true))
    later(PeerAskDelay, [](Implementation &Router) {
      Router.AskScheduled.store(false);
      Router.pump();
    });
}

auto RequestRouter::Implementation::useGrant(const SlotGrant &Grant) -> void {
  while (true) {
    auto Next = Queue.popForGrant(Grant);
    if (!Next)
      return Slots.release(Grant, {});
    if (auto Entry = Table.find(Next->Id))
      return dispatch(Entry, Grant);
  }
}

// A process that was paused judges its right to serve here, right before it
// sends. A claim ends with the incarnation that it was granted to: its home
// has answered "unknown" for it since and may have forgotten the key.
auto RequestRouter::Implementation::dispatchRefusal(const Pending &Entry)
    -> std::optional<ServingRefused> {
  auto Serving = Membership.serving();
  if (const auto *Refused = std::get_if<ServingRefused>(&Serving))
    return *Refused;
  if (Entry->Request.idempotent())
    return std::nullopt;
  std::string Current = Membership.incarnation();
  std::lock_guard Lock(Entry->Mutex);
  if (Entry->ClaimIncarnation == Current)
    return std::nullopt;
  return ServingRefused{
      ServingRefusal::NotMember,
      "this entry host left the view after it was granted the key"};
}

auto RequestRouter::Implementation::refuseDispatch(
    const Pending &Entry, const ServingRefused &Refusal) -> void {
  // A view settles within milliseconds as a rule, so the request waits for it
  // as it does in admit(); its deadline bounds the wait.
  if (Refusal.Refusal == ServingRefusal::Rebalancing)
    return later(SettlementPoll,
                 [Entry](Implementation &Self) { Self.enqueue(Entry); });
  RequestOutcome Closed;
  {
    std::lock_guard Lock(Entry->Mutex);
    Closed = Entry->Tracker.settleWithoutAnswer(Refusal.Detail);
  }
  finish(Entry, toMessage(Closed, reasonOf(Refusal.Refusal)));
}

auto RequestRouter::Implementation::dispatch(const Pending &Entry,
                                             const SlotGrant &Grant) -> void {
  if (auto Refusal = dispatchRefusal(Entry)) {
    Slots.release(Grant, {});
    return refuseDispatch(Entry, *Refusal);
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
  auto Left = std::chrono::duration_cast<Milliseconds>(Entry->Deadline - Now) +
              Milliseconds(1);
  RequestAttempt Attempt{.WorkerAddress = Grant.WorkerAddress,
                         .Account = Entry->Request.account(),
                         .Key = Entry->Request.key(),
                         .Number = *Number,
                         .Epoch = Grant.Epoch,
                         .Timeout = std::min(Settings.AttemptTimeout, Left),
                         .Idempotent = Entry->Request.idempotent(),
                         .Payload = Entry->Request.payload()};
  auto Self = shared_from_this();
  std::uint32_t Given = *Number;
  Workers.execute(std::move(Attempt), [Self, Entry, Given, Grant,
                                       Now](const AttemptOutcome &Result) {
    Self->onAttempt(Entry, Given, Grant, Now, Result);
  });
}

auto RequestRouter::Implementation::onAttempt(
    const Pending &Entry, std::uint32_t Number, const SlotGrant &Grant,
    TimePoint StartedAt, const AttemptOutcome &Result) -> void {
  auto Latency =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - StartedAt);
  bool Answered = std::holds_alternative<AttemptAnswered>(Result);
  bool Failed = std::holds_alternative<AttemptFailed>(Result);
  bool Refused = std::holds_alternative<AttemptRefused>(Result);
  // An attempt that the caller's deadline ended early tells nothing of the
  // worker; at a load peak it would open the circuits of healthy workers.
  bool CutByDeadline =
      std::holds_alternative<AttemptBroken>(Result) &&
      Clock::now() >= Entry->Deadline &&
      Latency < SilentFactor * Queue.expectedRunTime(Entry->Request);
  SlotUseResult Use{.Latency = std::nullopt,
                    .Answered = Answered,
                    .Failed = !Answered && !Refused && !CutByDeadline,
                    .Refused = Refused};
  // The class at the time of the grant: past the short limit a slow worker and
  // a long request cannot be told apart.
  if (Answered && Grant.Class == WorkClass::Short)
    Use.Latency = Latency;
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
  Slots.release(Grant, Use);
  afterAttempt(Entry, Decision, retryReason(Result));
}

auto RequestRouter::Implementation::afterAttempt(
    const Pending &Entry, const AttemptDecision &Decision, v1::Reason Reason)
    -> void {
  if (const auto *Settled = std::get_if<AttemptSettlesRequest>(&Decision))
    return finish(Entry, toMessage(Settled->Outcome, Reason));
  if (const auto *Retry = std::get_if<AttemptAllowsRetry>(&Decision))
    return retryOrClose(Entry, Retry->Detail, Reason);
  if (std::holds_alternative<AttemptResultLate>(Decision))
    Counters.count("jayramp_late_answers_total");
  else if (std::holds_alternative<AttemptResultDuplicate>(Decision))
    Counters.count("jayramp_duplicate_answers_total");
}

auto RequestRouter::Implementation::retryOrClose(const Pending &Entry,
                                                 const std::string &Detail,
                                                 v1::Reason Reason) -> void {
  std::optional<Milliseconds> Delay;
  // The worker did no work for a call of an older view, and every request is
  // refused so until this host has adopted the newer one: the budget would be
  // used up without need.
  if (Clock::now() < Entry->Deadline)
    Delay = Reason == v1::FENCED ? FencedDelay : Queue.takeRetryDelay();
  if (Delay) {
    Counters.count("jayramp_retries_total", reasonLabel(Reason));
    return later(*Delay,
                 [Entry](Implementation &Self) { Self.enqueue(Entry); });
  }
  RequestOutcome Closed;
  {
    std::lock_guard Lock(Entry->Mutex);
    Closed = Entry->Tracker.settleWithoutAnswer(Detail);
  }
  finish(Entry, toMessage(Closed, Reason));
}

auto RequestRouter::Implementation::withdraw(const Pending &Entry) -> bool {
  RequestOutcome Closed;
  bool InProgress = false;
  {
    std::lock_guard Lock(Entry->Mutex);
    if (Entry->Finished || Entry->Tracker.openAttemptCount() > 0)
      return false;
    InProgress = Entry->OtherClaimSeen && !Entry->HoldsClaim;
    // From here on no attempt can start.
    Closed = Entry->Tracker.settleWithoutAnswer("the caller cancelled it");
  }
  Queue.cancel(Entry->Id);
  finish(Entry, InProgress
                    ? makeOutcome(v1::UNKNOWN, v1::KEY_IN_PROGRESS,
                                  "cancelled; another request with this key "
                                  "may have run",
                                  0)
                    : toMessage(Closed, v1::CANCELLED));
  return true;
}

auto RequestRouter::Implementation::cancel(const std::string &Account,
                                           const std::string &Key,
                                           const OutcomeCallback &Respond)
    -> Result<void> {
  std::vector<Pending> Found = Table.findAll(Account, Key);
  if (Found.empty())
    return Error::make(ErrorKind::NotFound, "key",
                       "no request with key " + Key + " waits on this host",
                       "ask the entry host that accepted it");
  Pending Newest;
  for (const Pending &Entry : Found)
    if (withdraw(Entry) && (!Newest || Newest->Id < Entry->Id))
      Newest = Entry;
  if (!Newest)
    return Error::make(ErrorKind::Conflict, "key",
                       "the request with key " + Key + " is at a worker",
                       "wait for its outcome");
  Counters.count("jayramp_cancelled_total");
  v1::RequestOutcome Outcome;
  {
    std::lock_guard Lock(Newest->Mutex);
    Outcome = Newest->Outcome;
  }
  Respond(Outcome);
  return success();
}

auto RequestRouter::Implementation::reassertClaims() -> void {
  std::uint64_t Round = ++ReassertRound;
  for (const Pending &Entry : Table.findNonIdempotent())
    reassert(Entry, Round);
}

auto RequestRouter::Implementation::reassert(const Pending &Entry,
                                             std::uint64_t Round) -> void {
  std::string ClaimId;
  std::string Current = Membership.incarnation();
  {
    std::lock_guard Lock(Entry->Mutex);
    // A claim of an earlier incarnation ended with it.
    if (Entry->Finished || !Entry->HoldsClaim ||
        ReassertRound.load() != Round || Entry->ClaimIncarnation != Current)
      return;
    ClaimId = Entry->ClaimId;
  }
  auto Self = shared_from_this();
  Keys.reassert(Entry->Request.account(), Entry->Request.key(), ClaimId,
                [Self, Entry, Round](const ClaimAnswer &Answer) {
                  if (!repeatsReassert(Answer.Decision))
                    return;
                  Self->later(ReassertDelay,
                              [Entry, Round](Implementation &Router) {
                                Router.reassert(Entry, Round);
                              });
                });
}

auto RequestRouter::Implementation::onDeadline(const Pending &Entry) -> void {
  Queue.cancel(Entry->Id);
  Queue.dropExpired();
  RequestOutcome Closed;
  v1::Reason Reason = v1::DEADLINE_EXCEEDED;
  bool InProgress = false;
  {
    std::lock_guard Lock(Entry->Mutex);
    if (Entry->Finished)
      return;
    Reason = Entry->DeadlineReason;
    InProgress = Entry->OtherClaimSeen && !Entry->HoldsClaim;
    Closed = Entry->Tracker.settleWithoutAnswer("the deadline passed");
  }
  if (InProgress)
    return finish(Entry, makeOutcome(v1::UNKNOWN, v1::KEY_IN_PROGRESS,
                                     "another request with this key had no "
                                     "outcome at the deadline",
                                     0));
  finish(Entry, toMessage(Closed, Reason));
}

auto RequestRouter::Implementation::finish(const Pending &Entry,
                                           v1::RequestOutcome Outcome) -> void {
  bool Report = false;
  std::string ClaimId;
  {
    std::lock_guard Lock(Entry->Mutex);
    if (std::exchange(Entry->Finished, true))
      return;
    // A claim whose answer was lost may be granted at the home; releasing it
    // frees the key for the caller's repeat.
    Report = Entry->HoldsClaim ||
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
  if (Report)
    Keys.reportOutcome(
        Entry->Request.account(), Entry->Request.key(), ClaimId, Released,
        Released ? std::string() : serializeForRetention(Outcome));
  Table.erase(Entry);
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
  --Count;
}

auto RequestRouter::Implementation::applyConfiguration(
    const Configuration &Newer) -> void {
  const auto &Document = Newer.document();
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
      Self->pump();
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

auto RequestRouter::applyConfiguration(const Configuration &Newer) -> void {
  Body->applyConfiguration(Newer);
}

auto RequestRouter::refuseNewRequests() -> void { Body->Refusing.store(true); }

auto RequestRouter::requestsInProgress() const -> std::size_t {
  return Body->Count.load();
}

} // namespace jayramp
