#pragma once

#include "Base/Clock.h"
#include "Requests/RecordVersion.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// State of a request key. At equal versions the later state wins a merge.
enum class KeyState {
  Tentative, ///< Replication is not confirmed; nothing was granted.
  Granted,   ///< The holder may dispatch, or may have been told so.
  Released,  ///< The request did not run; the key may be claimed again.
  Done,      ///< The request ended; the key is not granted again.
};

/// What home and backup hold about one request key. The peer message needs
/// `Version` and `IsOutcomeUnknown` besides the fields of peer.proto's
/// KeyRecord.
struct KeyRecord {
  std::uint32_t Shard = 0;
  std::string Account;
  std::string Key;
  KeyState State = KeyState::Tentative;
  std::string ClaimId;
  std::string HolderHost;
  std::string HolderIncarnation;
  std::string Outcome;           ///< Opaque bytes; set in state Done.
  bool IsOutcomeUnknown = false; ///< Done, but it is not known whether it ran.
  RecordVersion Version;
  /// Time since the last change of state, measured by the sender.
  Milliseconds Age{0};

  auto operator==(const KeyRecord &) const -> bool = default;
};

} // namespace jayramp
