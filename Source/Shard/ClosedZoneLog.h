#pragma once

#include <map>
#include <string>
#include <utility>

namespace jayramp {

namespace scheduling {
class ShardScheduler;
} // namespace scheduling

namespace shard {

/// Logs when an availability zone is closed for a shard, when the last run
/// there has ended, and when the zone is opened again.
class ClosedZoneLog {
public:
  explicit ClosedZoneLog(std::string Shard) : Shard(std::move(Shard)) {}

  /// Logs what has changed since the last call.
  auto update(const scheduling::ShardScheduler &Scheduler) -> void;

private:
  std::string Shard;
  /// Whether the closed zone was empty at the last call.
  std::map<std::string, bool> IsEmptyByZone;
};

} // namespace shard

} // namespace jayramp
