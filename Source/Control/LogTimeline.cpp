#include "Control/LogTimeline.h"

#include "Base/EventLog.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <istream>
#include <ostream>
#include <set>

namespace jayramp {

namespace {

// The key of the field that names the job for which another job was stopped.
constexpr std::string_view PreemptingJobKey = "for";
// Earlier lines of a host, such as a lost store connection, can explain its
// first decision about the id.
constexpr int ContextSeconds = 1;
// Any host may be the one that delays a job by not acting as the owner of its
// shard.
constexpr std::array<std::string_view, 6> OwnerEvents = {
    "shard-taken",      "shard-recovered", "shard-released",
    "shard-recovering", "shard-lost",      "takeover-delayed"};

/// Returns whether \p Predicate is true for any field key whose value can be
/// the id of a request or job.
template <typename Condition>
auto anyIdKeySatisfies(Condition Predicate) -> bool {
  return Predicate(PreemptingJobKey) ||
         std::any_of(LogIdKeys.begin(), LogIdKeys.end(), Predicate);
}

auto isOwnerEvent(std::string_view Event) -> bool {
  return std::find(OwnerEvents.begin(), OwnerEvents.end(), Event) !=
         OwnerEvents.end();
}

auto fieldValue(const LogEntry &Entry, std::string_view Key) -> std::string {
  auto Found = Entry.find(Key);
  return Found == Entry.end() ? std::string() : Found->second;
}

/// Returns the unquoted value that begins at \p Position of \p Line, and
/// advances \p Position past the value and the space after it.
auto readValue(std::string_view Line, std::size_t &Position) -> std::string {
  std::string Value;
  bool Quoted = Position < Line.size() && Line[Position] == '"';
  if (Quoted)
    ++Position;
  for (; Position < Line.size(); ++Position) {
    char Character = Line[Position];
    if (Quoted && Character == '\\' && Position + 1 < Line.size())
      Character = Line[++Position];
    else if (Character == (Quoted ? '"' : ' '))
      break;
    Value += Character;
  }
  ++Position;
  return Value;
}

/// Returns \p Time, in the format 2026-12-04T16:10:34.740Z, minus \p Seconds.
/// Returns \p Time unchanged if it cannot be parsed.
auto subtractSeconds(const std::string &Time, int Seconds) -> std::string {
  std::tm Calendar{};
  const char *Rest = ::strptime(Time.c_str(), "%Y-%m-%dT%H:%M:%S", &Calendar);
  if (!Rest)
    return Time;
  std::time_t UnixSeconds = ::timegm(&Calendar) - Seconds;
  std::array<char, 32> Text{};
  ::gmtime_r(&UnixSeconds, &Calendar);
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Calendar);
  return std::string(Text.data()) + Rest;
}

} // namespace

auto parseLogLine(std::string_view Line) -> LogEntry {
  LogEntry Entry;
  std::size_t Position = 0;
  while (Position < Line.size()) {
    auto Equals = Line.find('=', Position);
    if (Equals == std::string_view::npos)
      break;
    // Log collectors may prepend text of their own to the line.
    auto Space = Line.rfind(' ', Equals);
    auto Begin = Space == std::string_view::npos || Space < Position
                     ? Position
                     : Space + 1;
    std::string Key(Line.substr(Begin, Equals - Begin));
    Position = Equals + 1;
    Entry.emplace(std::move(Key), readValue(Line, Position));
  }
  return Entry.count("event") > 0 && Entry.count("time") > 0 ? Entry
                                                             : LogEntry{};
}

auto LogTimeline::matchesId(const LogEntry &Entry) const -> bool {
  return anyIdKeySatisfies([&](std::string_view Key) {
    auto Value = fieldValue(Entry, Key);
    return Value == Id || Value.rfind(Id + "/", 0) == 0;
  });
}

auto LogTimeline::addLog(std::istream &Log) -> void {
  for (std::string Text; std::getline(Log, Text);) {
    auto Entry = parseLogLine(Text);
    if (Entry.empty())
      continue;
    bool MatchesId = matchesId(Entry);
    bool MatchesAnotherId =
        !MatchesId && anyIdKeySatisfies([&](std::string_view Key) {
          return Entry.find(Key) != Entry.end();
        });
    if (!MatchesAnotherId)
      Lines.push_back({fieldValue(Entry, "time"), fieldValue(Entry, "host"),
                       fieldValue(Entry, "event"), fieldValue(Entry, "worker"),
                       MatchesId, Text.substr(Text.find("time="))});
  }
}

auto LogTimeline::containsId() const -> bool {
  return std::any_of(Lines.begin(), Lines.end(),
                     [](const Line &Entry) { return Entry.MatchesId; });
}

auto LogTimeline::containsEvent(std::string_view Event) const -> bool {
  return std::any_of(Lines.begin(), Lines.end(), [&](const Line &Entry) {
    return Entry.MatchesId && Entry.Event == Event;
  });
}

auto LogTimeline::selectLines() const -> std::vector<const Line *> {
  std::set<std::string> Hosts;
  std::set<std::string> Workers = {""};
  std::string FirstTime;
  std::string LastTime;
  for (const Line &Entry : Lines) {
    if (!Entry.MatchesId)
      continue;
    Hosts.insert(Entry.Host);
    Workers.insert(Entry.Worker);
    FirstTime =
        FirstTime.empty() ? Entry.Time : std::min(FirstTime, Entry.Time);
    LastTime = std::max(LastTime, Entry.Time);
  }
  FirstTime = subtractSeconds(FirstTime, ContextSeconds);
  const bool IsUnplacedJob =
      containsEvent("job-submitted") && !containsEvent("tasks-placed");
  std::vector<const Line *> Selected;
  for (const Line &Entry : Lines)
    if (Entry.MatchesId ||
        (isOwnerEvent(Entry.Event) && Entry.Time >= FirstTime &&
         (IsUnplacedJob || Entry.Time <= LastTime)) ||
        (Hosts.count(Entry.Host) > 0 && Workers.count(Entry.Worker) > 0 &&
         Entry.Time >= FirstTime && Entry.Time <= LastTime))
      Selected.push_back(&Entry);
  std::stable_sort(
      Selected.begin(), Selected.end(),
      [](const Line *A, const Line *B) { return A->Time < B->Time; });
  return Selected;
}

auto LogTimeline::print(std::ostream &Output) const -> void {
  // Context lines by host and event since the last line that names the id.
  std::map<std::pair<std::string, std::string>, int> EventCounts;
  auto PrintRepeatCounts = [&] {
    for (const auto &[HostAndEvent, Count] : EventCounts)
      if (Count > 1)
        Output << "    host=" << HostAndEvent.first
               << " event=" << HostAndEvent.second << ": " << Count - 1
               << " more\n";
    EventCounts.clear();
  };
  for (const Line *Entry : selectLines()) {
    if (Entry->MatchesId)
      PrintRepeatCounts();
    else if (++EventCounts[{Entry->Host, Entry->Event}] > 1)
      continue;
    Output << (Entry->MatchesId ? "" : "    ") << Entry->Text << '\n';
  }
}

} // namespace jayramp
