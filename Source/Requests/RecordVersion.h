#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace jayramp {

/// Order of the writes to a key: a home writes only in its own view and
/// numbers its writes, so reordered replication messages cannot undo a write.
struct RecordVersion {
  std::uint64_t View = 0;
  std::uint64_t Sequence = 0;

  auto operator==(const RecordVersion &) const -> bool = default;
  auto operator<=>(const RecordVersion &Other) const -> std::strong_ordering {
    return std::tie(View, Sequence) <=> std::tie(Other.View, Other.Sequence);
  }
};

} // namespace jayramp
