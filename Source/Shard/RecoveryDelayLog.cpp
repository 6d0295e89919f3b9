#include "Shard/RecoveryDelayLog.h"

#include "Base/EventLog.h"

#include <utility>

namespace jayramp::shard {

namespace {

constexpr Milliseconds FirstReportAfter{2000};
constexpr Milliseconds ReportInterval{3000};

auto join(const std::vector<std::string> &Names) -> std::string {
  std::string Joined;
  for (const auto &Name : Names)
    Joined += (Joined.empty() ? "" : ",") + Name;
  return Joined.empty() ? "none" : Joined;
}

auto reasonFor(const JournalRecovery &Journal) -> std::string {
  if (!Journal.Unclaimed.empty())
    return "claims";
  return Journal.Unread.empty() ? "job-table" : "progress-rows";
}

} // namespace

RecoveryDelayLog::RecoveryDelayLog(std::string Shard,
                                   std::uint64_t FencingToken,
                                   TimePoint StartedAt)
    : Shard(std::move(Shard)), FencingToken(FencingToken), StartedAt(StartedAt),
      Timer(FirstReportAfter, ReportInterval) {}

auto RecoveryDelayLog::report(const JournalRecovery &Journal, TimePoint Now)
    -> void {
  if (!Timer.takeDue(StartedAt, Now))
    return;
  const auto Waited = std::chrono::duration_cast<Milliseconds>(Now - StartedAt);
  logEvent(LogLevel::Warning, "shard-recovering",
           {{"shard", Shard},
            {"token", std::to_string(FencingToken)},
            {"waited-ms", std::to_string(Waited.count())},
            {"reason", reasonFor(Journal)},
            {"unclaimed", join(Journal.Unclaimed)},
            {"unread", join(Journal.Unread)}});
}

} // namespace jayramp::shard
