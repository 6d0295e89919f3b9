#pragma once

namespace jayramp {

namespace scheduling {
class ShardScheduler;
} // namespace scheduling

namespace shard {

/// Logs what the scheduler has placed and stopped, and what tasks wait for,
/// since the last call.
auto logDecisions(scheduling::ShardScheduler &Scheduler) -> void;

} // namespace shard

} // namespace jayramp
