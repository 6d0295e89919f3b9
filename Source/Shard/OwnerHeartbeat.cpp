#include "Shard/OwnerHeartbeat.h"

#include "Base/EventLog.h"
#include "Shard/SuspendAwareClock.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

/// Short, so that the first heartbeat after an outage comes before the first
/// attempt of another host to take the shard.
constexpr Milliseconds RetryDelay{40};

} // namespace

OwnerHeartbeat::OwnerHeartbeat(net::EventLoop &Loop, store::RowStore &Store,
                               ShardRows Rows, const ShardSettings &Settings,
                               Ownership Held, WaitingCounts Counts,
                               std::function<void(const char *)> OnLost)
    : Loop(Loop), Store(Store), Rows(std::move(Rows)), Settings(Settings),
      Held(std::move(Held)), Counts(std::move(Counts)),
      OnLost(std::move(OnLost)), LastConfirmed(suspendAwareNow()) {}

auto OwnerHeartbeat::close() -> void {
  Closed = true;
  Retry.reset();
}

auto OwnerHeartbeat::interval() const -> Milliseconds {
  // A slow store must not be kept busy with heartbeats.
  return std::max(Settings.HeartbeatInterval, LastDuration);
}

auto OwnerHeartbeat::flush() -> void {
  if (Busy || Closed || Clock::now() - LastBeat < interval())
    return;
  Busy = true;
  LastBeat = Clock::now();
  ++Sequence;
  send();
}

auto OwnerHeartbeat::send() -> void {
  store::RowTransaction Change;
  Change.Conditions.push_back({Rows.ownerKey(), Held.OwnerVersion});
  Change.Writes.push_back(
      {Rows.heartbeatKey(),
       encodeHeartbeat({Held.Owner.FencingToken, Sequence, Counts()})});
  SentAt = suspendAwareNow();
  Store.transact(
      Change, Settings.StoreTimeout,
      [Self = shared_from_this()](const store::TransactionOutcome &Result) {
        if (!Self->Closed)
          std::visit([&](const auto &Case) { Self->onOutcome(Case); }, Result);
      });
}

auto OwnerHeartbeat::onOutcome(const store::TransactionCommitted &) -> void {
  Busy = false;
  LastConfirmed = SentAt;
  LastDuration = suspendAwareNow() - SentAt;
}

auto OwnerHeartbeat::onOutcome(const store::TransactionConflict &) -> void {
  OnLost("other-owner");
}

auto OwnerHeartbeat::onOutcome(const store::StoreRefusal &Outcome) -> void {
  retry(Outcome.Reason);
}

auto OwnerHeartbeat::onOutcome(const store::StoreNoAnswer &Outcome) -> void {
  retry(Outcome.Reason);
}

auto OwnerHeartbeat::retry(const std::string &Reason) -> void {
  logEvent(LogLevel::Warning, "heartbeat-failed", {{"reason", Reason}});
  Retry = Loop.after(RetryDelay, [this] { send(); });
}

} // namespace jayramp::shard
