#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace jayramp {

struct PendingRequest;

/// The requests of one entry host that have no outcome yet, by id and by
/// account and key. All members are safe to call from any thread; each shard
/// has its own lock.
class PendingTable {
public:
  using Pending = std::shared_ptr<PendingRequest>;

  auto insert(const Pending &Entry) -> void;
  auto erase(const Pending &Entry) -> void;

  /// The request, or nullptr.
  auto find(std::uint64_t Id) -> Pending;
  /// The requests with this key; idempotent ones may be several.
  auto findAll(const std::string &Account, const std::string &Key)
      -> std::vector<Pending>;
  auto nonIdempotent() -> std::vector<Pending>;

private:
  static constexpr std::size_t ShardCount = 16;

  struct IdShard {
    std::mutex Mutex;
    std::unordered_map<std::uint64_t, Pending> Map;
  };
  struct NameShard {
    std::mutex Mutex;
    std::unordered_multimap<std::string, Pending> Map;
  };

  auto idShard(std::uint64_t Id) -> IdShard & { return ById[Id % ShardCount]; }
  auto nameShard(const std::string &Name) -> NameShard &;

  std::array<IdShard, ShardCount> ById;
  std::array<NameShard, ShardCount> ByName;
};

} // namespace jayramp
