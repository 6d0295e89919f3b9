#pragma once

#include "Base/Clock.h"
#include "Requests/RecordVersion.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// State of a request key. If two records with equal versions are merged, the
/// state that is listed later wins.
enum class KeyState {
  Tentative, ///< The backup has not confirmed it; nothing is granted yet.
  Granted,   ///< The holder may have received permission to dispatch.
  Released,  ///< The request did not run; the key may be claimed again.
  Done,      ///< The request ended; the key is not granted again.
};

/// The record of one request key, as stored at its home and its backup and sent
/// between entry hosts as the message KeyRecord of peer.proto.
struct KeyRecord {
  std::uint32_t Shard = 0;
  std::string Account;
  std::string Key;
  KeyState State = KeyState::Tentative;
  std::string ClaimId;
  std::string HolderHost;
  std::string HolderIncarnation;
  /// Serialized v1::RequestOutcome, opaque to the registry; set in state Done.
  std::string Outcome;
  /// Set in state Done if it is not known whether the request ran or how it
  /// ended.
  bool IsOutcomeUnknown = false;
  RecordVersion Version;
  /// Time since the last change of state, measured by the sender of the record.
  Milliseconds Age{0};

  auto operator==(const KeyRecord &) const -> bool = default;
};

} // namespace jayramp
