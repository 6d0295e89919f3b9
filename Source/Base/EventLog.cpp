#include "Base/EventLog.h"

#include "Base/LogOutput.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <utility>

namespace jayramp {

namespace {

auto needsQuotes(std::string_view Value) -> bool {
  return Value.empty() ||
         Value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

auto appendValue(std::string &Line, std::string_view Value) -> void {
  if (!needsQuotes(Value)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (char Character : Value) {
    if (Character == '"' || Character == '\\')
      Line += '\\';
    if (Character == '\n')
      Line += "\\n";
    else if (Character == '\r')
      Line += "\\r";
    else
      Line += Character;
  }
  Line += '"';
}

auto toSpdlog(LogLevel Level) -> spdlog::level::level_enum {
  switch (Level) {
  case LogLevel::Debug:
    return spdlog::level::debug;
  case LogLevel::Info:
    return spdlog::level::info;
  case LogLevel::Warning:
    return spdlog::level::warn;
  case LogLevel::Error:
    return spdlog::level::err;
  }
  return spdlog::level::err;
}

/// Returns the id of the request or job that an event is about: the text before
/// the first '/' of the first field that LogIdKeys names. Empty if there is
/// none.
auto subjectIdOf(std::initializer_list<LogField> Fields) -> std::string_view {
  for (const auto &[Key, Value] : Fields)
    if (std::find(LogIdKeys.begin(), LogIdKeys.end(), Key) != LogIdKeys.end())
      return std::string_view(Value).substr(0, Value.find('/'));
  return {};
}

/// Passes lines to a LogOutput. Not thread-safe; the caller holds a lock.
class NonBlockingSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  explicit NonBlockingSink(int Descriptor) : Output(Descriptor) {}

  /// Returns the number of bytes in the lines since the last call, including
  /// lines that were lost.
  auto takeByteCount() -> std::size_t { return std::exchange(Bytes, 0); }
  auto takeLostLines() -> std::uint64_t { return Output.takeLostLines(); }

private:
  auto sink_it_(const spdlog::details::log_msg &Message) -> void override {
    spdlog::memory_buf_t Line;
    formatter_->format(Message, Line);
    Bytes += Line.size();
    Output.write(std::string_view(Line.data(), Line.size()));
  }
  auto flush_() -> void override {}

  LogOutput Output;
  std::size_t Bytes = 0;
};

/// The log of this process.
class ProcessLog {
public:
  ProcessLog(std::string_view Host, LogLevel Threshold,
             LogDestination Destination)
      : RateLimiter(Destination.Limits),
        Sink(std::make_shared<NonBlockingSink>(Destination.Descriptor)),
        Logger("jayramp", Sink) {
    Logger.set_pattern(
        "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l host=" + std::string(Host) + " %v",
        spdlog::pattern_time_type::utc);
    Logger.set_level(toSpdlog(Threshold));
  }

  auto write(LogLevel Level, std::string_view Event,
             std::initializer_list<LogField> Fields) -> void {
    if (!Logger.should_log(toSpdlog(Level)))
      return;
    std::lock_guard Lock(Mutex);
    const auto Now = Clock::now();
    if (RateLimiter.admit(Level, subjectIdOf(Fields), Now))
      writeLine(Level, Event, Fields);
    reportDroppedLines(Now);
  }

private:
  auto writeLine(LogLevel Level, std::string_view Event,
                 std::initializer_list<LogField> Fields) -> void {
    Logger.log(toSpdlog(Level), "{}", formatEvent(Event, Fields));
    RateLimiter.recordWritten(Sink->takeByteCount());
  }

  auto reportDroppedLines(TimePoint Now) -> void {
    if (const auto Lines = RateLimiter.takeDroppedLines(Now); Lines > 0)
      logDroppedLines("budget", Lines);
    if (const auto Lines = Sink->takeLostLines(); Lines > 0)
      logDroppedLines("output", Lines);
  }

  auto logDroppedLines(std::string_view Reason, std::uint64_t Lines) -> void {
    writeLine(
        LogLevel::Warning, "log-dropped",
        {{"reason", std::string(Reason)}, {"lines", std::to_string(Lines)}});
  }

  std::mutex Mutex; ///< Guards all members below.
  LogRateLimiter RateLimiter;
  std::shared_ptr<NonBlockingSink> Sink;
  spdlog::logger Logger;
};

auto processLog() -> std::unique_ptr<ProcessLog> & {
  static std::unique_ptr<ProcessLog> Instance;
  return Instance;
}

auto eventObserver() -> EventObserver & {
  static EventObserver Instance;
  return Instance;
}

} // namespace

auto setEventObserver(EventObserver Observer) -> void {
  eventObserver() = std::move(Observer);
}

auto initializeLog(std::string_view Host, LogLevel Threshold,
                   LogDestination Destination) -> void {
  processLog() = std::make_unique<ProcessLog>(Host, Threshold, Destination);
}

auto formatEvent(std::string_view Event, std::initializer_list<LogField> Fields)
    -> std::string {
  std::string Line = "event=";
  appendValue(Line, Event);
  for (const auto &[Key, Value] : Fields) {
    Line += ' ';
    Line += Key;
    Line += '=';
    appendValue(Line, Value);
  }
  return Line;
}

auto logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) -> void {
  if (const auto &Observer = eventObserver())
    Observer(Event, Fields);
  if (const auto &Log = processLog())
    Log->write(Level, Event, Fields);
}

} // namespace jayramp
