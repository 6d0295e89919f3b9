#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jayramp {

class ShardMap;
class View;

inline constexpr std::size_t KeyShardCount = 256;

enum class ShardRole : std::uint8_t { None, Home, Backup };

/// This host's part in one view.
struct ShardRoles {
  std::uint64_t ViewVersion = 0;
  /// Incarnations of all members, this host's own included.
  std::set<std::string> Members;
  std::string OwnIncarnation;
  std::array<ShardRole, KeyShardCount> Roles{};
  /// True only for the first view that was ever written to the table service:
  /// no key was claimed before, so empty shards are complete.
  bool IsFirstView = false;

  /// The roles of the process at the host \p Name that was a member as one of
  /// \p Incarnations, oldest first, at least one: a process that is removed
  /// and joins again is the same one, and knows what it took part in.
  static auto forView(const View &Adopted, const ShardMap &Owners,
                      std::string_view Name,
                      const std::vector<std::string> &Incarnations)
      -> ShardRoles;

  /// The roles in the views after \p AdoptedVersion that \p Newest records,
  /// oldest first. A host that skipped them adopts each in turn, and then
  /// \p Newest itself, which is not among them.
  static auto forSkippedViews(const View &Newest, std::uint64_t AdoptedVersion,
                              std::string_view Name,
                              const std::vector<std::string> &Incarnations)
      -> std::vector<ShardRoles>;
};

} // namespace jayramp
