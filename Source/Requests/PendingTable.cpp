#include "Requests/PendingTable.h"

#include "Requests/PendingRequest.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace jayramp {

namespace {

auto nameOf(const std::string &Account, const std::string &Key) -> std::string {
  return Account + '\0' + Key;
}

auto nameOf(const PendingRequest &Entry) -> std::string {
  return nameOf(Entry.Request.account(), Entry.Request.key());
}

} // namespace

auto PendingTable::nameShard(const std::string &Name) -> NameShard & {
  return ByName[std::hash<std::string>()(Name) % ShardCount];
}

auto PendingTable::insert(const Pending &Entry) -> void {
  {
    IdShard &Shard = idShard(Entry->Id);
    std::lock_guard Lock(Shard.Mutex);
    Shard.Map.emplace(Entry->Id, Entry);
  }
  std::string Name = nameOf(*Entry);
  NameShard &Shard = nameShard(Name);
  std::lock_guard Lock(Shard.Mutex);
  Shard.Map.emplace(std::move(Name), Entry);
}

auto PendingTable::erase(const Pending &Entry) -> void {
  {
    IdShard &Shard = idShard(Entry->Id);
    std::lock_guard Lock(Shard.Mutex);
    Shard.Map.erase(Entry->Id);
  }
  std::string Name = nameOf(*Entry);
  NameShard &Shard = nameShard(Name);
  std::lock_guard Lock(Shard.Mutex);
  auto [Begin, End] = Shard.Map.equal_range(Name);
  auto Found = std::find_if(
      Begin, End, [&Entry](const auto &Item) { return Item.second == Entry; });
  if (Found != End)
    Shard.Map.erase(Found);
}

auto PendingTable::find(std::uint64_t Id) -> Pending {
  IdShard &Shard = idShard(Id);
  std::lock_guard Lock(Shard.Mutex);
  auto Found = Shard.Map.find(Id);
  return Found == Shard.Map.end() ? nullptr : Found->second;
}

auto PendingTable::findAll(const std::string &Account, const std::string &Key)
    -> std::vector<Pending> {
  std::string Name = nameOf(Account, Key);
  NameShard &Shard = nameShard(Name);
  std::vector<Pending> Found;
  std::lock_guard Lock(Shard.Mutex);
  auto [Begin, End] = Shard.Map.equal_range(Name);
  for (auto Position = Begin; Position != End; ++Position)
    Found.push_back(Position->second);
  return Found;
}

auto PendingTable::nonIdempotent() -> std::vector<Pending> {
  std::vector<Pending> Found;
  for (IdShard &Shard : ById) {
    std::lock_guard Lock(Shard.Mutex);
    for (const auto &[Id, Entry] : Shard.Map)
      if (!Entry->Request.idempotent())
        Found.push_back(Entry);
  }
  return Found;
}

} // namespace jayramp
