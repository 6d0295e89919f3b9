#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace jayramp {

inline constexpr std::size_t KeyShardCount = 256;

enum class ShardRole : std::uint8_t { Neither, Home, Backup };

/// This host's part in one view.
struct ShardRoles {
  std::uint64_t ViewVersion = 0;
  /// Incarnations of all members, this host's own included.
  std::set<std::string> Members;
  std::string OwnIncarnation;
  std::array<ShardRole, KeyShardCount> Roles{};
  /// True only for the first view that was ever written to the table service:
  /// no key was claimed before, so empty shards are complete.
  bool FirstOfDeployment = false;
};

} // namespace jayramp
