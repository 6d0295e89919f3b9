#pragma once

namespace jayramp::scheduling {

/// How often the progress of a run should be looked at.
enum class RunPollRate {
  Normal,
  Elevated, ///< Lost time would make its job late.
  High,     ///< It has just started, when most faults of workers show.
};

} // namespace jayramp::scheduling
