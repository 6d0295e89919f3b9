#include "Net/LimitReporter.h"

#include "Base/EventLog.h"

#include <utility>

namespace jayramp::net {

namespace {

constexpr Milliseconds LogInterval{1000};

} // namespace

auto LimitReporter::report(std::string_view Reason, const std::string &Peer)
    -> void {
  if (Count)
    Count(Reason);
  if (const auto Cases = countCase(Reason, Clock::now()))
    logEvent(LogLevel::Warning, "connection-limit",
             {{"server", Server},
              {"reason", std::string(Reason)},
              {"count", std::to_string(Cases)},
              {"peer", Peer}});
}

auto LimitReporter::countCase(std::string_view Reason, TimePoint Now)
    -> std::uint64_t {
  auto Found = SeriesByReason.find(Reason);
  if (Found == SeriesByReason.end())
    Found = SeriesByReason.emplace(Reason, Series{0, Now - LogInterval}).first;
  auto &Cases = Found->second;
  ++Cases.NotLogged;
  if (Now - Cases.LoggedAt < LogInterval)
    return 0;
  Cases.LoggedAt = Now;
  return std::exchange(Cases.NotLogged, 0);
}

} // namespace jayramp::net
