#pragma once

namespace jayramp {

/// Exit codes of jayrampctl; Help/jayrampctl.md documents them.
enum class ExitCode {
  Done = 0,
  FailedAtWorker = 1,
  InvalidInput = 2,
  NotRun = 3,
  OutcomeUnknown = 4,
  Conflict = 5,
  NotFound = 6,
  EntryHostNotReachable = 7,
};

} // namespace jayramp
