#pragma once

#include "Base/Clock.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace jayramp {

class Metrics;

namespace scheduling {
class ShardScheduler;
} // namespace scheduling

namespace shard {

class ShardOwner;

/// Publishes, as gauges, what the tasks of the shards that this host owns wait
/// for, how full their pools are, how fast their workers are, what is left in
/// closed availability zones, and whether their owners recover.
class OwnerGauges {
public:
  using OwnersByShard = std::map<std::string, std::unique_ptr<ShardOwner>>;

  explicit OwnerGauges(Metrics &Target) : Target(Target) {}

  /// Sets the gauges of all shards that this host owns, and to 0 those of
  /// shards that it no longer owns. Has no effect if it has done so recently.
  auto update(const OwnersByShard &Owners, TimePoint Now) -> void;

private:
  auto publish(const std::string &Shard, const ShardOwner &Owner, TimePoint Now)
      -> void;
  auto publishSpeeds(const std::string &Shard, const ShardOwner &Owner) -> void;
  /// \p Scheduler is null if this host no longer owns the shard.
  auto publishClosedZones(const std::string &Shard,
                          const scheduling::ShardScheduler *Scheduler) -> void;
  auto clear(const std::string &Shard) -> void;

  Metrics &Target;
  TimePoint NextUpdate;
  std::set<std::string> PublishedShards;
  /// Closed zones that were published last, by shard.
  std::map<std::string, std::set<std::string>> PublishedClosedZones;
  /// Zones whose time factor was published last, by shard.
  std::map<std::string, std::set<std::string>> PublishedZones;
};

} // namespace shard

} // namespace jayramp
