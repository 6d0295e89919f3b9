#include "Shard/SpeedLog.h"

#include "Base/EventLog.h"
#include "Scheduling/RunTimeModel.h"

#include <algorithm>
#include <cstddef>

namespace jayramp::shard {

namespace {

constexpr Milliseconds ReportInterval{2000};
/// Ratio of two time factors of a zone that is worth a line.
constexpr double NoticeableRatio = 1.2;
constexpr std::size_t MaxLinesPerReport = 8; ///< Of each event.

} // namespace

auto SpeedLog::report(const scheduling::RunTimeModel &Model, TimePoint Now)
    -> void {
  if (Now < NextReport)
    return;
  NextReport = Now + ReportInterval;
  const bool AreKnown = Model.knowsSpeeds();
  if (AreKnown != WereKnown)
    logEvent(LogLevel::Info, "worker-speeds",
             {{"shard", Shard}, {"differ", AreKnown ? "yes" : "no"}});
  WereKnown = AreKnown;
  if (AreKnown)
    reportZones(Model.zoneFactors());
  reportSlowWorkers(Model.slowWorkers());
}

auto SpeedLog::reportZones(const std::map<std::string, double> &Factors)
    -> void {
  std::size_t Lines = 0;
  for (const auto &[Zone, Factor] : Factors) {
    auto &Logged = LoggedFactors.try_emplace(Zone, 1.0).first->second;
    if (std::max(Factor, Logged) < std::min(Factor, Logged) * NoticeableRatio ||
        ++Lines > MaxLinesPerReport)
      continue;
    logEvent(LogLevel::Info, "zone-speed",
             {{"shard", Shard},
              {"zone", Zone},
              {"time-factor", std::to_string(Factor)},
              {"before", std::to_string(Logged)}});
    Logged = Factor;
  }
}

auto SpeedLog::reportSlowWorkers(const std::map<std::string, double> &Factors)
    -> void {
  std::erase_if(LoggedWorkers, [&Factors](const std::string &Id) {
    return !Factors.contains(Id);
  });
  std::size_t Lines = 0;
  for (const auto &[Id, Factor] : Factors) {
    if (LoggedWorkers.contains(Id))
      continue;
    if (++Lines > MaxLinesPerReport)
      break;
    LoggedWorkers.insert(Id);
    logEvent(LogLevel::Info, "worker-slow",
             {{"shard", Shard},
              {"worker", Id},
              {"time-factor", std::to_string(Factor)}});
  }
}

} // namespace jayramp::shard
