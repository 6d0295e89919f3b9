#pragma once

#include <string_view>

namespace jayramp::shard {

/// What shows that a run is over whose end its worker has not listed.
enum class RunOverEvidence {
  JobHeldBack,    ///< Never sent: its job's progress cannot be written.
  Withdrawn,      ///< Never sent: its worker leaves or its zone is closed.
  StoppedUnsent,  ///< Never sent: it was stopped before.
  WorkerSilent,   ///< Never sent: its worker does not answer.
  OtherProcess,   ///< Never sent: another process of its worker listens.
  StartNotSent,   ///< Never sent: no start could be, though its worker answers.
  StartRefused,   ///< The worker refused all its starts.
  NotListed,      ///< The worker has stopped it and does not list it.
  NewIncarnation, ///< The worker's process has been replaced.
  LeaseExpired,   ///< The worker does not answer, and its leases are over.
  WorkerLeft,     ///< The worker has left after a drain.
};

/// Returns whether \p Evidence is that no start of the run was sent.
auto isNeverSent(RunOverEvidence Evidence) -> bool;

/// Returns whether \p Evidence is that the worker's state kept a start from
/// being sent.
auto isUnsentForWorker(RunOverEvidence Evidence) -> bool;

/// Returns the name of \p Evidence for logs.
auto toString(RunOverEvidence Evidence) -> std::string_view;

} // namespace jayramp::shard
