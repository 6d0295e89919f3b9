#pragma once

#include <string_view>

namespace jayramp::shard {

/// What shows that a run is over whose end its worker has not listed.
enum class RunOverEvidence {
  NeverSent,      ///< No start of it was sent.
  StartRefused,   ///< The worker refused its only start.
  NotListed,      ///< The worker has stopped it and does not list it.
  NewIncarnation, ///< The worker's process has been replaced.
  LeaseExpired,   ///< The worker does not answer, and its leases are over.
  WorkerLeft,     ///< The worker has left after a drain.
};

/// Returns the name of \p Evidence for logs.
auto toString(RunOverEvidence Evidence) -> std::string_view;

} // namespace jayramp::shard
