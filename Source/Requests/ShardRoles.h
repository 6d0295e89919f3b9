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

/// Number of shards into which request keys are divided.
inline constexpr std::size_t KeyShardCount = 256;

/// Role of one host in one shard.
enum class ShardRole : std::uint8_t { None, Home, Backup };

/// Roles of this host in all shards in one membership view.
struct ShardRoles {
  std::uint64_t ViewVersion = 0;
  /// Incarnations of all members, including this host.
  std::set<std::string> Members;
  std::string OwnIncarnation;
  std::array<ShardRole, KeyShardCount> Roles{};
  /// True only for the first view that was ever written to the table service.
  /// No key was claimed before it, so empty shards are complete.
  bool IsFirstView = false;

  /// Returns the roles of this process in the view \p Adopted. \p Name is the
  /// host's name and \p Incarnations lists all incarnations under which this
  /// process has joined, oldest first; it must not be empty. A process that was
  /// removed from the view and joined again has several, and keeps the records
  /// of its earlier memberships.
  static auto forView(const View &Adopted, const ShardMap &Owners,
                      std::string_view Name,
                      const std::vector<std::string> &Incarnations)
      -> ShardRoles;

  /// Returns the roles in the views between \p AdoptedVersion and \p Newest, as
  /// far as \p Newest records them, oldest first and without \p Newest itself.
  /// A host that skipped these views adopts each of them before \p Newest.
  static auto forSkippedViews(const View &Newest, std::uint64_t AdoptedVersion,
                              std::string_view Name,
                              const std::vector<std::string> &Incarnations)
      -> std::vector<ShardRoles>;
};

} // namespace jayramp
