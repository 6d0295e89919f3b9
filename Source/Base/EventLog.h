#pragma once

#include "Base/LogRateLimiter.h"

#include <array>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace jayramp {

/// Keys of the fields that identify the request or job that an event is about.
inline constexpr std::array<std::string_view, 4> LogIdKeys = {"job", "run",
                                                              "key", "request"};

/// A field of an event: its key and its value.
using LogField = std::pair<std::string_view, std::string>;

/// The output of the log and its rate limits.
struct LogDestination {
  int Descriptor = 1; ///< File descriptor; 1 is the standard output.
  LogLimits Limits;
};

/// Starts logging events of at least level \p Threshold. \p Host is added to
/// every line.
auto initializeLog(std::string_view Host, LogLevel Threshold,
                   LogDestination Destination = {}) -> void;

/// Writes an event as one line of key=value pairs; values with spaces, quotes
/// or equals signs are quoted. Never blocks: drops lines that exceed the rate
/// limits and lines that the reader of the log does not accept at once, and
/// logs the number of dropped lines as event `log-dropped`. For the rate
/// limits, the id of a line is the first of its fields that LogIdKeys names.
auto logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) -> void;

/// Receives the name and the fields of every event, whether or not its line is
/// written.
using EventObserver =
    std::function<void(std::string_view, std::initializer_list<LogField>)>;

/// Sets the observer of this process, for example to count events. Must be
/// called before other threads log.
auto setEventObserver(EventObserver Observer) -> void;

/// Returns the part of the line that logEvent() writes after the timestamp, the
/// level and the host.
auto formatEvent(std::string_view Event, std::initializer_list<LogField> Fields)
    -> std::string;

} // namespace jayramp
