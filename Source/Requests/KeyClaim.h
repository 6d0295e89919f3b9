#pragma once

#include <cstdint>
#include <string>

namespace jayramp {

/// A claim of a request key: asks for permission to dispatch a non-idempotent
/// request.
struct KeyClaim {
  std::uint64_t ViewVersion = 0; ///< Sender's view when it sent the claim.
  std::uint32_t Shard = 0;
  std::string Account;
  std::string Key;
  std::string ClaimId; ///< The same in all repeats of this claim.
  std::string HolderHost;
  std::string HolderIncarnation;

  auto operator==(const KeyClaim &) const -> bool = default;
};

} // namespace jayramp
