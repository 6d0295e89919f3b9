#pragma once

#include "Scheduling/SpeedLevel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp::scheduling {

/// What is known of the speeds of workers, in a size that can be stored: all
/// zones, and the other groups and workers that stand out from their group.
struct SpeedSummary {
  struct Entry {
    SpeedLevel Level = SpeedLevel::Zone;
    std::string Group; ///< Name of the group, or id of the worker.
    /// Natural logarithm of the time factor, in hundredths.
    std::int32_t LogCents = 0;

    auto operator==(const Entry &) const -> bool = default;
  };

  std::vector<Entry> Entries; ///< Ordered by level, then by group.

  /// Largest number of entries of one level.
  static constexpr std::size_t MaxEntriesPerLevel = 64;

  /// Returns whether nothing is known.
  auto isEmpty() const -> bool { return Entries.empty(); }
  /// Returns whether decisions could differ between this and \p Other: a group
  /// is only in one of them, or its time factor differs noticeably.
  auto differsNoticeably(const SpeedSummary &Other) const -> bool;

  auto operator==(const SpeedSummary &) const -> bool = default;
};

} // namespace jayramp::scheduling
