#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jayramp {

class View;

/// Assigns key shards, racks and the scheduler role to the serving members of a
/// view by rendezvous hashing: adding or removing a member moves only what that
/// member owns before or after the change. Immutable; safe to read from any
/// thread.
class ShardMap {
public:
  static constexpr std::uint32_t ShardCount = 256;

  /// Creates a map without members: every owner is an empty name.
  ShardMap() = default;
  explicit ShardMap(const View &Source);

  /// Returns the name of the member that grants claims to the keys of \p Shard;
  /// empty if there is none. \p Shard must be less than ShardCount.
  auto home(std::uint32_t Shard) const -> const std::string &;
  /// Returns the name of the member that holds the second copy of \p Shard;
  /// empty if there is only one serving member. It is in another availability
  /// zone than the home if possible.
  auto backup(std::uint32_t Shard) const -> const std::string &;
  /// Returns the name of the member that owns the workers of \p Rack; empty if
  /// there is none.
  auto rackOwner(std::string_view Rack) const -> std::string;
  /// Returns the name of the member that schedules jobs; empty if there is
  /// none.
  auto scheduler() const -> std::string;
  /// Returns the version of the view.
  auto version() const -> std::uint64_t { return Version; }

private:
  struct Candidate {
    std::string Name;
    std::string AvailabilityZone;
  };

  /// Returns the members in descending order of their hash weight for \p Item.
  auto rankCandidates(std::string_view Item) const
      -> std::vector<const Candidate *>;

  std::uint64_t Version = 0;
  std::vector<Candidate> Candidates;
  std::array<std::string, ShardCount> Homes;
  std::array<std::string, ShardCount> Backups;
};

} // namespace jayramp
