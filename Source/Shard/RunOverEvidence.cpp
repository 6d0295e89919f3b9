#include "Shard/RunOverEvidence.h"

namespace jayramp::shard {

auto toString(RunOverEvidence Evidence) -> std::string_view {
  switch (Evidence) {
  case RunOverEvidence::NeverSent:
    return "never-sent";
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
