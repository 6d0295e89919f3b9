#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// One attempt to run a caller's request on a worker.
struct RequestAttempt {
  std::string WorkerAddress; ///< "IP:port".
  std::string Account;
  std::string Key;
  /// Differs between the attempts of a request; the first is 1.
  std::uint32_t AttemptNumber = 1;
  /// Version of the sender's membership view; the worker refuses a call whose
  /// epoch is older than the newest it has seen.
  std::uint64_t Epoch = 0;
  Milliseconds Timeout{0};
  /// If false, the attempt uses a new connection, because a pooled client sends
  /// a POST a second time when its reused connection turns out to be closed.
  bool Idempotent = false;
  std::string Payload;
};

} // namespace jayramp
