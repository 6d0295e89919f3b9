#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace jayramp {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key of an event with its value.
using LogField = std::pair<std::string_view, std::string>;

/// Starts logging to standard error. \p Host is added to every line.
auto initializeLog(std::string_view Host, LogLevel Threshold) -> void;

/// Writes one line of key=value pairs; values with spaces or quotes are quoted.
auto logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) -> void;

/// Is told of every event, whether its line is written or not.
using EventObserver =
    std::function<void(std::string_view, std::initializer_list<LogField>)>;

/// Sets the process's observer, for example one that counts events. Call before
/// other threads log.
auto setEventObserver(EventObserver Observer) -> void;

/// The line that logEvent() writes after the timestamp and the level.
auto formatEvent(std::string_view Event, std::initializer_list<LogField> Fields)
    -> std::string;

} // namespace jayramp
