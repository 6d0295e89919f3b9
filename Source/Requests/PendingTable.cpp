#include "Requests/PendingTable.h"

#include "Requests/PendingRequest.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace jayramp {

namespace {

/// Joins account and key with a NUL character.
auto accountKey(const std::string &Account, const std::string &Key)
    -> std::string {
  return Account + '\0' + Key;
}

auto accountKey(const PendingRequest &Entry) -> std::string {
  return accountKey(Entry.Request.account(), Entry.Request.key());
}

} // namespace

auto PendingTable::accountKeyShard(const std::string &AccountKey)
    -> AccountKeyShard & {
  return ByAccountKey[std::hash<std::string>()(AccountKey) % ShardCount];
}

auto PendingTable::insert(const RequestPointer &Entry) -> void {
  {
    IdShard &Shard = idShard(Entry->Id);
    std::lock_guard Lock(Shard.Mutex);
    Shard.Map.emplace(Entry->Id, Entry);
  }
  std::string AccountKey = accountKey(*Entry);
  AccountKeyShard &Shard = accountKeyShard(AccountKey);
  std::lock_guard Lock(Shard.Mutex);
  Shard.Map.emplace(std::move(AccountKey), Entry);
}

auto PendingTable::erase(const RequestPointer &Entry) -> void {
  {
    IdShard &Shard = idShard(Entry->Id);
    std::lock_guard Lock(Shard.Mutex);
    Shard.Map.erase(Entry->Id);
  }
  std::string AccountKey = accountKey(*Entry);
  AccountKeyShard &Shard = accountKeyShard(AccountKey);
  std::lock_guard Lock(Shard.Mutex);
  auto [Begin, End] = Shard.Map.equal_range(AccountKey);
  auto Found = std::find_if(
      Begin, End, [&Entry](const auto &Item) { return Item.second == Entry; });
  if (Found != End)
    Shard.Map.erase(Found);
}

auto PendingTable::find(std::uint64_t Id) -> RequestPointer {
  IdShard &Shard = idShard(Id);
  std::lock_guard Lock(Shard.Mutex);
  auto Found = Shard.Map.find(Id);
  return Found == Shard.Map.end() ? nullptr : Found->second;
}

auto PendingTable::findAll(const std::string &Account, const std::string &Key)
    -> std::vector<RequestPointer> {
  std::string AccountKey = accountKey(Account, Key);
  AccountKeyShard &Shard = accountKeyShard(AccountKey);
  std::vector<RequestPointer> Found;
  std::lock_guard Lock(Shard.Mutex);
  auto [Begin, End] = Shard.Map.equal_range(AccountKey);
  for (auto Position = Begin; Position != End; ++Position)
    Found.push_back(Position->second);
  return Found;
}

auto PendingTable::findNonIdempotent() -> std::vector<RequestPointer> {
  std::vector<RequestPointer> Found;
  for (IdShard &Shard : ById) {
    std::lock_guard Lock(Shard.Mutex);
    for (const auto &[Id, Entry] : Shard.Map)
      if (!Entry->Request.idempotent())
        Found.push_back(Entry);
  }
  return Found;
}

} // namespace jayramp
