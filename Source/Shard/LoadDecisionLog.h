#pragma once

#include "Base/Clock.h"

#include <string>
#include <utility>

namespace jayramp::scheduling {
class ShardScheduler;
} // namespace jayramp::scheduling

namespace jayramp::shard {

/// Logs which decisions the owner of a shard makes for lack of room, at a
/// bounded rate.
class LoadDecisionLog {
public:
  explicit LoadDecisionLog(std::string Shard) : Shard(std::move(Shard)) {}

  /// Logs what the last pass of the scheduler decided.
  auto report(scheduling::ShardScheduler &Scheduler, TimePoint Now) -> void;

private:
  auto reportAccounts(const scheduling::ShardScheduler &Scheduler,
                      TimePoint Now) -> void;

  static auto reportGangRoom(scheduling::ShardScheduler &Scheduler) -> void;

  std::string Shard;
  TimePoint NextAccountReport; ///< Accounts are not logged before this time.
};

} // namespace jayramp::shard
