#pragma once

namespace jayramp::shard {

/// Outcome of a call as reported to the caller.
enum class CallOutcome {
  Done,
  NotFound,
  NotExecuted, ///< Had no effect and will have none; safe to retry.
  Unknown,     ///< May or may not have taken effect.
};

} // namespace jayramp::shard
