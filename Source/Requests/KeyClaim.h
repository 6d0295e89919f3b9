#pragma once

#include <cstdint>
#include <string>

namespace jayramp {

/// A request for the permission to dispatch a non-idempotent request.
struct KeyClaim {
  std::uint64_t ViewVersion = 0; ///< View version of the message.
  std::uint32_t Shard = 0;
  std::string Account;
  std::string Key;
  std::string ClaimId; ///< Equal in all repeats of this claim.
  std::string HolderHost;
  std::string HolderIncarnation;

  auto operator==(const KeyClaim &) const -> bool = default;
};

} // namespace jayramp
