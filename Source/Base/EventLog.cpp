#include "Base/EventLog.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

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

auto observer() -> EventObserver & {
  static EventObserver Current;
  return Current;
}

} // namespace

auto setEventObserver(EventObserver Observer) -> void {
  observer() = std::move(Observer);
}

auto initializeLog(std::string_view Host, LogLevel Threshold) -> void {
  auto Logger = spdlog::stderr_logger_mt("jayramp");
  Logger->set_pattern(
      "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l host=" + std::string(Host) + " %v",
      spdlog::pattern_time_type::utc);
  Logger->set_level(toSpdlog(Threshold));
  Logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(Logger);
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
  if (const auto &Observer = observer())
    Observer(Event, Fields);
  auto SpdlogLevel = toSpdlog(Level);
  if (!spdlog::should_log(SpdlogLevel))
    return;
  spdlog::log(SpdlogLevel, "{}", formatEvent(Event, Fields));
}

} // namespace jayramp
