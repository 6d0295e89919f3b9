#include "Shard/SpeedRowReader.h"

#include "Base/EventLog.h"

#include <utility>

namespace jayramp::shard {

namespace {

constexpr int MaxAttempts = 10;
constexpr Milliseconds RetryDelay{500};

} // namespace

SpeedRowReader::SpeedRowReader(
    net::EventLoop &Loop, store::RowStore &Store, ShardRows Rows,
    const ShardSettings &Settings,
    std::function<void(scheduling::SpeedSummary)> OnRead)
    : Loop(Loop), Store(Store), Rows(std::move(Rows)), Settings(Settings),
      OnRead(std::move(OnRead)) {}

auto SpeedRowReader::start() -> void {
  if (Closed)
    return;
  ++Attempts;
  const auto Key = Rows.speedKey();
  Store.read(
      {Key.Table, Key.Partition, Key.Key, Key.Key + store::KeySuccessorSuffix},
      Settings.StoreTimeout,
      [Self = shared_from_this()](const store::ReadOutcome &Result) {
        if (!Self->Closed)
          std::visit([&](const auto &Case) { Self->onOutcome(Case); }, Result);
      });
}

auto SpeedRowReader::close() -> void {
  Closed = true;
  Retry.reset();
}

auto SpeedRowReader::onOutcome(const store::RowPage &Page) -> void {
  if (Page.Rows.empty())
    return;
  auto Speeds = decodeSpeeds(Page.Rows.front().Value);
  if (!Speeds) {
    logEvent(LogLevel::Error, "speed-row-malformed",
             {{"shard", Rows.speedKey().Partition},
              {"error", Speeds.error().message()}});
    return;
  }
  OnRead(std::move(Speeds).value());
}

auto SpeedRowReader::onOutcome(const store::StoreRefusal &Outcome) -> void {
  retry(Outcome.Reason);
}

auto SpeedRowReader::onOutcome(const store::StoreNoAnswer &Outcome) -> void {
  retry(Outcome.Reason);
}

auto SpeedRowReader::retry(const std::string &Reason) -> void {
  if (Attempts >= MaxAttempts) {
    logEvent(LogLevel::Warning, "speed-row-not-read",
             {{"shard", Rows.speedKey().Partition}, {"reason", Reason}});
    return;
  }
  Retry = Loop.after(RetryDelay, [this] { start(); });
}

} // namespace jayramp::shard
