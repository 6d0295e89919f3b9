#pragma once

namespace jayramp::scheduling {

/// How often the progress of a run should be polled.
enum class RunPollRate {
  Normal,
  Elevated, ///< A delay would make the job miss its latency objective.
  High,     ///< The run has just started, when most worker faults show.
};

} // namespace jayramp::scheduling
