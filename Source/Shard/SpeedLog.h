#pragma once

#include "Base/Clock.h"

#include <map>
#include <set>
#include <string>

namespace jayramp {

namespace scheduling {
class RunTimeModel;
} // namespace scheduling

namespace shard {

/// Logs what an owner has learned of the speeds of workers when it changes
/// noticeably. Limits the number of lines.
class SpeedLog {
public:
  explicit SpeedLog(std::string Shard) : Shard(std::move(Shard)) {}

  /// Logs what has changed since the last call. Has no effect if it was called
  /// recently.
  auto report(const scheduling::RunTimeModel &Model, TimePoint Now) -> void;

private:
  auto reportZones(const std::map<std::string, double> &Factors) -> void;
  auto reportSlowWorkers(const std::map<std::string, double> &Factors) -> void;

  std::string Shard;
  bool WereKnown = false; ///< Whether workers were known to differ.
  std::map<std::string, double> LoggedFactors; ///< By zone.
  std::set<std::string> LoggedWorkers;         ///< Slow since they were logged.
  TimePoint NextReport;
};

} // namespace shard

} // namespace jayramp
