#pragma once

namespace jayramp {

/// Exit codes of jayrampctl, as documented in Help/jayrampctl.md.
enum class ExitCode {
  Success = 0,
  WorkerFailed = 1,
  InvalidInput = 2,
  NotRun = 3,
  OutcomeUnknown = 4,
  Conflict = 5,
  NotFound = 6,
  EntryHostUnreachable = 7,
};

} // namespace jayramp
