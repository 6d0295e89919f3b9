#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// One attempt of a caller's request at one worker.
struct RequestAttempt {
  std::string WorkerAddress; ///< "IP:port".
  std::string Account;
  std::string Key;
  std::uint32_t AttemptNumber = 1; ///< Tells the attempts of a request apart.
  std::uint64_t Epoch = 0;
  Milliseconds Timeout{0};
  /// False forces a connection of its own, as a pooled client repeats a POST
  /// by itself when a reused connection turns out to be closed.
  bool Idempotent = false;
  std::string Payload;
};

} // namespace jayramp
