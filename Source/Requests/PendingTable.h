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

/// Index of the requests of one entry host that have no outcome yet, by id and
/// by account and key. The index is split into shards with one mutex each. All
/// members are safe to call from any thread.
class PendingTable {
public:
  using RequestPointer = std::shared_ptr<PendingRequest>;

  auto insert(const RequestPointer &Entry) -> void;
  auto erase(const RequestPointer &Entry) -> void;

  /// Returns the request with this id, or nullptr.
  auto find(std::uint64_t Id) -> RequestPointer;
  /// Returns the requests with this key. Several idempotent requests may share
  /// a key.
  auto findAll(const std::string &Account, const std::string &Key)
      -> std::vector<RequestPointer>;
  /// Returns all requests that are not idempotent.
  auto findNonIdempotent() -> std::vector<RequestPointer>;

private:
  static constexpr std::size_t ShardCount = 16;

  struct IdShard {
    std::mutex Mutex;
    std::unordered_map<std::uint64_t, RequestPointer> Map;
  };
  struct AccountKeyShard {
    std::mutex Mutex;
    std::unordered_multimap<std::string, RequestPointer> Map;
  };

  auto idShard(std::uint64_t Id) -> IdShard & { return ById[Id % ShardCount]; }
  auto accountKeyShard(const std::string &AccountKey) -> AccountKeyShard &;

  std::array<IdShard, ShardCount> ById;
  std::array<AccountKeyShard, ShardCount> ByAccountKey;
};

} // namespace jayramp
