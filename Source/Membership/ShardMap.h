#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jayramp {

class View;

/// Divides key shards, racks and the scheduler role among the serving members
/// of a view by rendezvous hashing: a change of one member moves only what that
/// member holds or takes over. Immutable; safe to read from any thread.
class ShardMap {
public:
  static constexpr std::uint32_t ShardCount = 256;

  /// A map without members: every owner is empty.
  ShardMap() = default;
  explicit ShardMap(const View &Source);

  /// Name of the member that grants claims of \p Shard; empty if there is none.
  auto home(std::uint32_t Shard) const -> const std::string &;
  /// Name of the member that holds the second copy; empty if there is only one
  /// serving member. In another availability zone than the home if possible.
  auto backup(std::uint32_t Shard) const -> const std::string &;
  /// Name of the member that owns the workers of \p Rack; empty if none.
  auto rackOwner(std::string_view Rack) const -> std::string;
  /// Name of the member that schedules jobs; empty if none.
  auto scheduler() const -> std::string;
  auto version() const -> std::uint64_t { return Version; }

private:
  struct Candidate {
    std::string Name;
    std::string AvailabilityZone;
  };

  /// Members in falling order of their weight for \p Item.
  auto ranked(std::string_view Item) const -> std::vector<const Candidate *>;

  std::uint64_t Version = 0;
  std::vector<Candidate> Candidates;
  std::array<std::string, ShardCount> Homes;
  std::array<std::string, ShardCount> Backups;
};

} // namespace jayramp
