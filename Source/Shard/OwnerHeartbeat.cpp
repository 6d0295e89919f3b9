#include "Shard/OwnerHeartbeat.h"

#include "Base/EventLog.h"
#include "Base/SuspendAwareClock.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

/// Delay before a failed heartbeat is written again. It is short, so that after
/// a store outage the owner writes its heartbeat before another host tries to
/// take over the shard.
constexpr Milliseconds RetryDelay{40};

} // namespace

OwnerHeartbeat::OwnerHeartbeat(net::EventLoop &Loop, store::RowStore &Store,
                               ShardRows Rows, const ShardSettings &Settings,
                               Ownership CurrentOwnership,
                               JobCountSource ReadJobCounts,
                               SpeedQuery ReadSpeeds,
                               ForecastSource ReadForecast,
                               std::function<void(const char *)> OnLost)
    : Loop(Loop), Store(Store), Rows(std::move(Rows)), Settings(Settings),
      CurrentOwnership(std::move(CurrentOwnership)),
      ReadJobCounts(std::move(ReadJobCounts)),
      ReadSpeeds(std::move(ReadSpeeds)), ReadForecast(std::move(ReadForecast)),
      OnLost(std::move(OnLost)), LastConfirmedAt(suspendAwareNow()) {}

auto OwnerHeartbeat::close() -> void {
  Closed = true;
  Retry.reset();
}

auto OwnerHeartbeat::effectiveInterval() const -> Milliseconds {
  // Heartbeats must not overload a slow store.
  return std::max(Settings.HeartbeatInterval, LastWriteDuration);
}

auto OwnerHeartbeat::sendIfDue() -> void {
  if (WriteInProgress || Closed ||
      Clock::now() - LastHeartbeatAt < effectiveInterval())
    return;
  WriteInProgress = true;
  LastHeartbeatAt = Clock::now();
  ++Sequence;
  send();
}

auto OwnerHeartbeat::send() -> void {
  Heartbeat Beat{CurrentOwnership.Owner.FencingToken, Sequence, std::nullopt,
                 ReadForecast()};
  if (auto Counts = ReadJobCounts()) {
    Beat.Waiting = std::move(Counts->Waiting);
    Beat.JobCount = Counts->Total;
  }
  store::RowTransaction Change;
  Change.Conditions.push_back({Rows.ownerKey(), CurrentOwnership.OwnerVersion});
  Change.Writes.push_back({Rows.heartbeatKey(), encodeHeartbeat(Beat)});
  if (const auto Speeds = SpeedRow.takeDue(ReadSpeeds(), Clock::now()))
    Change.Writes.push_back({Rows.speedKey(), encodeSpeeds(*Speeds)});
  SentAt = suspendAwareNow();
  Store.transact(
      Change, Settings.StoreTimeout,
      [Self = shared_from_this()](const store::TransactionOutcome &Result) {
        if (!Self->Closed)
          std::visit([&](const auto &Case) { Self->onOutcome(Case); }, Result);
      });
}

auto OwnerHeartbeat::onOutcome(const store::TransactionCommitted &) -> void {
  WriteInProgress = false;
  LastConfirmedAt = SentAt;
  SpeedRow.confirmWrite();
  LastWriteDuration = suspendAwareNow() - SentAt;
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
