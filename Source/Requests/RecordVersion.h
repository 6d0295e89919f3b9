#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace jayramp {

/// Version of a key's record, which orders the writes to the key. A home
/// numbers its writes and writes only in the view in which it is the home.
/// Replication messages that arrive in another order therefore cannot undo a
/// write.
struct RecordVersion {
  std::uint64_t View = 0;
  std::uint64_t Sequence = 0;

  auto operator==(const RecordVersion &) const -> bool = default;
  auto operator<=>(const RecordVersion &Other) const -> std::strong_ordering {
    return std::tie(View, Sequence) <=> std::tie(Other.View, Other.Sequence);
  }
};

} // namespace jayramp
