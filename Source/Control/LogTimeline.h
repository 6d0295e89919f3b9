#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jayramp {

/// The fields of one log line, by key; values are unquoted.
using LogEntry = std::map<std::string, std::string, std::less<>>;

/// Parses \p Line in the format of logEvent(). Returns an empty entry if the
/// line has no `event` or no `time` field.
auto parseLogLine(std::string_view Line) -> LogEntry;

/// Selects the events of one request or job from the logs of several hosts and
/// prints them in the order of their times.
class LogTimeline {
public:
  /// \p Id is the id of a job or a run, or the key of a request. The id of a
  /// job also matches its runs, whose ids begin with the job id and a slash.
  explicit LogTimeline(std::string Id) : Id(std::move(Id)) {}

  /// Adds the lines of \p Log to the timeline.
  auto addLog(std::istream &Log) -> void;

  /// Returns whether any line names the id.
  auto containsId() const -> bool;
  /// Prints the lines that name the id, sorted by time. Between them, indented,
  /// come context lines of the same hosts: lines that name no request or job
  /// and no worker other than those in the lines of the id, from one second
  /// before the first line of the id to the last one. Lines about the owner of
  /// a shard come from all hosts and, if no line of a submitted job says that
  /// it was placed, up to the end of the logs. If an event repeats
  /// between two lines of the id, only its first line and the number of further
  /// lines are printed.
  auto print(std::ostream &Output) const -> void;

private:
  struct Line {
    std::string Time;
    std::string Host;
    std::string Event;
    std::string Worker;
    bool MatchesId = false;
    std::string Text;
  };

  /// Returns whether a field of \p Entry names the id or one of its runs.
  auto matchesId(const LogEntry &Entry) const -> bool;
  auto containsEvent(std::string_view Event) const -> bool;
  /// Returns the lines to print, sorted by time.
  auto selectLines() const -> std::vector<const Line *>;

  std::string Id;
  std::vector<Line> Lines;
};

} // namespace jayramp
