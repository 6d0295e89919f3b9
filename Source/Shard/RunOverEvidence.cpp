#include "Shard/RunOverEvidence.h"

namespace jayramp::shard {

auto isNeverSent(RunOverEvidence Evidence) -> bool {
  switch (Evidence) {
  case RunOverEvidence::JobHeldBack:
  case RunOverEvidence::Withdrawn:
  case RunOverEvidence::StoppedUnsent:
  case RunOverEvidence::WorkerSilent:
  case RunOverEvidence::OtherProcess:
  case RunOverEvidence::StartNotSent:
    return true;
  case RunOverEvidence::StartRefused:
  case RunOverEvidence::NotListed:
  case RunOverEvidence::NewIncarnation:
  case RunOverEvidence::LeaseExpired:
  case RunOverEvidence::WorkerLeft:
    return false;
  }
  return false;
}

auto isUnsentForWorker(RunOverEvidence Evidence) -> bool {
  return Evidence == RunOverEvidence::WorkerSilent ||
         Evidence == RunOverEvidence::OtherProcess ||
         Evidence == RunOverEvidence::StartNotSent;
}

auto toString(RunOverEvidence Evidence) -> std::string_view {
  switch (Evidence) {
  case RunOverEvidence::JobHeldBack:
    return "job-held-back";
  case RunOverEvidence::Withdrawn:
    return "withdrawn";
  case RunOverEvidence::StoppedUnsent:
    return "stopped-unsent";
  case RunOverEvidence::WorkerSilent:
    return "worker-silent";
  case RunOverEvidence::OtherProcess:
    return "other-process";
  case RunOverEvidence::StartNotSent:
    return "start-not-sent";
  case RunOverEvidence::StartRefused:
    return "start-refused";
  case RunOverEvidence::NotListed:
    return "not-listed";
  case RunOverEvidence::NewIncarnation:
    return "new-incarnation";
  case RunOverEvidence::LeaseExpired:
    return "lease-expired";
  case RunOverEvidence::WorkerLeft:
    return "worker-left";
  }
  return "unknown";
}

} // namespace jayramp::shard
