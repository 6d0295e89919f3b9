#pragma once

#include "Base/EventLog.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace jayramp::test {

/// Records the events that are logged during its lifetime.
class EventRecorder {
public:
  EventRecorder() {
    setEventObserver(
        [this](std::string_view Event, std::initializer_list<LogField> Fields) {
          Lines.emplace_back(Event, formatEvent(Event, Fields) + " ");
        });
  }
  ~EventRecorder() { setEventObserver(nullptr); }
  EventRecorder(const EventRecorder &) = delete;
  auto operator=(const EventRecorder &) -> EventRecorder & = delete;

  /// Returns how many lines of an event contain the field \p Field, given as
  /// key=value. An empty field matches every line.
  auto count(const std::string &Event, const std::string &Field = {}) const
      -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(Lines.begin(), Lines.end(), [&](const auto &Line) {
          return Line.first == Event &&
                 (Field.empty() ||
                  Line.second.find(" " + Field + " ") != std::string::npos);
        }));
  }

private:
  std::vector<std::pair<std::string, std::string>> Lines; ///< By event.
};

} // namespace jayramp::test
