#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <string>

namespace jayramp::shard {

/// How many registered workers of a shard its owner is in contact with.
struct WorkerContacts {
  std::size_t NotAnswering = 0; ///< Did not answer the last call.
  /// Of those without an answer, the ones that have not been asked for long.
  std::size_t NotAsked = 0;
  std::string FirstNotAsked; ///< Id of one of them.
  /// Get no tasks because the acknowledgement of one of their ends is withheld.
  std::size_t WithWithheldEnd = 0;

  auto operator==(const WorkerContacts &) const -> bool = default;
};

/// Logs the workers of one shard that are registered and that nobody asks
/// whether they answer, which no state of a worker's life permits.
class WorkerContactLog {
public:
  /// A registered worker that does not answer is asked at least this often.
  static constexpr Milliseconds LongestPause{5000};

  explicit WorkerContactLog(std::string Shard) : Shard(std::move(Shard)) {}

  /// Returns whether it is time to look.
  auto isDue(TimePoint Now) const -> bool { return Now >= NextLook; }
  /// Logs \p Known if it names workers that are not asked.
  auto report(const WorkerContacts &Known, TimePoint Now) -> void;

private:
  std::string Shard;
  TimePoint NextLook;
};

} // namespace jayramp::shard
