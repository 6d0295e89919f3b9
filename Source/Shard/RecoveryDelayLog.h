#pragma once

#include "Shard/DelayReportTimer.h"
#include "Shard/JournalRecovery.h"

#include <cstdint>
#include <string>

namespace jayramp::shard {

/// Logs what the recovery of a shard's owner waits for while it is held up.
class RecoveryDelayLog {
public:
  /// \p StartedAt is the time at which the recovery began.
  RecoveryDelayLog(std::string Shard, std::uint64_t FencingToken,
                   TimePoint StartedAt);

  /// Logs the state of a recovery that is not finished, if a line is due.
  auto report(const JournalRecovery &Journal, TimePoint Now) -> void;

private:
  std::string Shard;
  std::uint64_t FencingToken;
  TimePoint StartedAt;
  DelayReportTimer Timer;
};

} // namespace jayramp::shard
