#include "Shard/WorkerSession.h"

#include "Shard/SessionContext.h"
#include "Shard/WorkerRegistry.h"

#include <algorithm>
#include <utility>

namespace jayramp::shard {

using namespace life_event;

namespace {

/// Interval of renewals while reported ends are not yet durable.
constexpr Milliseconds UncommittedEndsRenewInterval{400};
/// Shortest interval between two renewals that report no end.
constexpr Milliseconds MinRenewInterval{40};
/// Interval of renewals while an end is not acknowledged: the worker lists it
/// in each reply, without delay.
constexpr Milliseconds WithheldEndRenewInterval{400};

} // namespace

WorkerSession::WorkerSession(SessionContext &SharedContext, std::string Worker,
                             std::optional<TimePoint> PredecessorLeasesExpireAt)
    : SharedContext(SharedContext),
      Link(SharedContext, std::move(Worker), PredecessorLeasesExpireAt),
      Orders(SharedContext, Link,
             {[this](WorkerOrders::ReplyHandler Handle) {
                return expectReply<OrderReply>(std::move(Handle));
              },
              [this] { carryOut(Link.learn(OtherProcessFound{})); },
              [this] { sendDueOrders(); }}),
      Ends(SharedContext, Link.worker()) {}

auto WorkerSession::onReport(const WorkerChange &Change) -> void {
  carryOut(Link.recordEntry(Change));
}

auto WorkerSession::onUnregistered(bool WasDraining) -> void {
  Link.recordRemoval(WasDraining);
}

auto WorkerSession::carryOut(const WorkerLife::Transition &Result) -> void {
  if (Result.NewIncarnation)
    Ends.onNewIncarnation();
  if (!Result.AskNow)
    return;
  // A renewal in flight to a process that is gone would be waited for in vain.
  RenewInFlight = false;
  ++RenewNumber;
  NextRenew = {};
}

auto WorkerSession::isIdle() const -> bool {
  return !Link.life().isRegistered() && Orders.isEmpty() &&
         CallsInFlight == 0 && now() > Link.leases().expireAt() &&
         (!Link.life().answers() || !Ends.acknowledgement().isOutstanding());
}

template <typename Reply, typename Handler>
auto WorkerSession::expectReply(Handler Handle)
    -> std::function<void(const Reply &)> {
  ++CallsInFlight;
  return [Self = shared_from_this(),
          Handle = std::move(Handle)](const Reply &Answer) {
    --Self->CallsInFlight;
    if (!Self->Closed)
      Handle(Answer);
    if (!Self->Closed && Self->isIdle())
      Self->SharedContext.OnIdle(*Self);
  };
}

auto WorkerSession::sendDueOrders() -> void {
  if (Closed)
    return;
  Orders.sendDue();
  renewIfDue();
  SharedContext.OnOrdersSent(*this);
}

auto WorkerSession::nextDue() const -> TimePoint {
  return std::min({nextRenewal(), Orders.nextDue(), idleFrom()});
}

auto WorkerSession::idleFrom() const -> TimePoint {
  const auto LeasesExpireAt = Link.leases().expireAt();
  const bool AwaitsOnlyThat = !Link.life().isRegistered() && Orders.isEmpty() &&
                              CallsInFlight == 0 && now() <= LeasesExpireAt;
  return AwaitsOnlyThat ? LeasesExpireAt + Milliseconds(1) : TimePoint::max();
}

auto WorkerSession::awaitedJobs() const -> std::set<std::string> {
  std::set<std::string> Jobs;
  Orders.addAwaitedJobs(Jobs);
  Ends.acknowledgement().addAwaitedJobs(Jobs);
  return Jobs;
}

auto WorkerSession::nextRenewal() const -> TimePoint {
  if (RenewInFlight || !Link.hasAddress())
    return TimePoint::max();
  if (Ends.acknowledgement().hasUncommittedEnds())
    return std::max(NextRenew,
                    Link.lastContact() + UncommittedEndsRenewInterval);
  return needsRenewal() ? NextRenew : TimePoint::max();
}

auto WorkerSession::needsRenewal() const -> bool {
  // A withheld end is released only with a reply.
  return !Orders.isEmpty() || Link.life().mustBeAsked() ||
         Ends.acknowledgement().isOutstanding() ||
         (withholdsEnd() && Link.life().answers());
}

auto WorkerSession::renewIfDue() -> void {
  if (RenewInFlight || now() < NextRenew || !Link.hasAddress())
    return;
  Ends.acknowledgement().collectDurableEnds();
  if (Ends.acknowledgement().hasUncommittedEnds()) {
    // The worker lists the same ends again, without delay, until they are
    // acknowledged, so renewals are sent less often.
    if (now() - Link.lastContact() >= UncommittedEndsRenewInterval)
      sendRenewal(Milliseconds{0});
    return;
  }
  if (needsRenewal())
    sendRenewal(renewWait());
}

auto WorkerSession::renewWait() const -> Milliseconds {
  if (Orders.isEmpty() || !Link.life().answers() || !Link.leases().canGrant())
    return Milliseconds{0};
  return SharedContext.Settings.renewWaitFor(Orders.highestPollRate());
}

auto WorkerSession::replyMargin() const -> Milliseconds {
  const auto &Settings = SharedContext.Settings;
  // A worker that seems silent may answer late.
  const auto Least = Link.life().isSilent() ? Settings.longestStartTimeout()
                                            : SharedContext.Answers.timeout();
  return std::max(Settings.RenewReplyMargin, Least);
}

auto WorkerSession::sendRenewal(Milliseconds Wait) -> void {
  RenewOrder Order;
  Order.FencingToken = SharedContext.FencingToken;
  Order.Wait = Wait;
  const auto Target = Link.target();
  if (Target.Incarnation != 0) {
    Order.LastSeenEnd = Ends.acknowledgement().takeAcknowledgement();
    if (!Orders.isEmpty() && Link.mayGrantLeases())
      Order.LeaseExpiresAtMs = Link.grantLease();
  }
  RenewInFlight = true;
  LastAsked = now();
  SharedContext.Transport.renewLeases(
      Target, Order, Wait + replyMargin(),
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
  // A reply that does not tell which process it is from is none of a process.
  if (Reply.Outcome != OrderOutcome::Accepted || Reply.Incarnation == 0) {
    onRenewFailure();
    return;
  }
  Link.recordContact();
  const auto Result = Link.learn(Answered{Reply.Incarnation});
  carryOut(Result);
  if (Result.FormerEnded)
    Orders.onFormerEnded(Reply);
  Link.recordClock(Link.life().incarnation(), Reply.WorkerClockMs);
  const bool HasNewEnds = Ends.record(Reply.Ended, Link.areLeasesOver());
  Orders.recordListing(SentAt, Reply);
  if (Ends.acknowledgement().withheldEnd())
    NextRenew = now() + WithheldEndRenewInterval;
  else if (now() - SentAt < MinRenewInterval && !HasNewEnds)
    NextRenew = now() + MinRenewInterval;
  else
    NextRenew = now();
  SharedContext.OnStateChanged();
  sendDueOrders();
}

auto WorkerSession::onRenewFailure() -> void {
  carryOut(Link.learn(Unanswered{}));
  NextRenew = now() + Link.life().probeDelay(SharedContext.Settings.RetryDelay);
  SharedContext.OnStateChanged();
  sendDueOrders();
}

} // namespace jayramp::shard
