#pragma once

#include "Base/LogRateLimiter.h"

#include <array>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace jayramp {

/// Keys of fields that name the request or job that an event is about.
inline constexpr std::array<std::string_view, 4> LogIdKeys = {"job", "run",
                                                              "key", "request"};

/// One key of an event with its value.
using LogField = std::pair<std::string_view, std::string>;

/// Where the log goes.
struct LogDestination {
  int Descriptor = 1; ///< Standard output.
  LogLimits Limits;
};

/// Starts logging. \p Host is added to every line.
auto initializeLog(std::string_view Host, LogLevel Threshold,
                   LogDestination Destination = {}) -> void;

/// Writes one line of key=value pairs; values with spaces or quotes are quoted.
/// Never waits: lines above the limits, and lines that the reader of the log
/// does not take, are left out, and their number is logged as `log-dropped`.
/// The id of a line is the first of its fields that LogIdKeys names.
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
