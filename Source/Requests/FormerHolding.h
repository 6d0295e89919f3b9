#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace jayramp {

/// What a host held of a shard before the current view: every grant up to the
/// view `View`, in which it was home or backup. Zero: nothing.
///
/// It proves that no later grant exists if all members of the current view
/// have reported, none holds more, and every witness is among them: a witness
/// that became complete in a later view would report that view.
struct FormerHolding {
  std::uint64_t View = 0;
  /// Incarnations of the other holder of that view and of the homes to which
  /// the shard was sent since.
  std::set<std::string> Witnesses;
  /// The records were dropped to save memory; only the proof remains.
  bool Dropped = false;
};

} // namespace jayramp
