#pragma once

#include "Scheduling/SpeedLevel.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jayramp::scheduling {

/// What is known of the speeds of workers, in a size that can be stored: all
/// zones, the kinds and racks that stand out from their group, and the workers
/// that are slower than their rack.
struct SpeedSummary {
  struct Group {
    SpeedLevel Level = SpeedLevel::Zone; ///< Not SpeedLevel::Worker.
    std::string Name;
    /// Natural logarithm of the time factor, in hundredths.
    std::int32_t LogCents = 0;

    auto operator==(const Group &) const -> bool = default;
  };

  std::vector<Group> Groups; ///< Ordered by level, then by name.
  /// The same logarithm of slow workers, by workerHash().
  std::map<std::uint32_t, std::int32_t> SlowWorkers;

  /// Largest number of groups of one level.
  static constexpr std::size_t MaxStoredGroups = 64;
  static constexpr std::size_t MaxSlowWorkers = 1024;

  /// Returns a checksum that stands for the id of a worker. Few workers have
  /// the same one, and what was learned of these is corrected soon.
  static auto workerHash(const std::string &Id) -> std::uint32_t;

  /// Returns whether nothing is known.
  auto isEmpty() const -> bool { return Groups.empty(); }
  /// Returns whether decisions could differ between this and \p Other: a group
  /// is only in one of them or its time factor differs noticeably, or this is
  /// so of more than a few of the workers.
  auto differsNoticeably(const SpeedSummary &Other) const -> bool;

  auto operator==(const SpeedSummary &) const -> bool = default;
};

} // namespace jayramp::scheduling
