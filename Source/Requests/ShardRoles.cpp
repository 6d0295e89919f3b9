#include "Requests/ShardRoles.h"

#include "Membership/ShardMap.h"
#include "Membership/View.h"

namespace jayramp {

auto ShardRoles::of(const View &Adopted, const ShardMap &Owners,
                    std::string_view Name, std::string_view Incarnation)
    -> ShardRoles {
  ShardRoles Result;
  Result.ViewVersion = Adopted.version();
  Result.OwnIncarnation = Incarnation;
  Result.FirstOfDeployment = Adopted.version() == 1;
  for (const Member &Entry : Adopted.members())
    Result.Members.insert(Entry.Incarnation);
  // An earlier incarnation under this name took its keys with it: what it was
  // home of is not known to this one.
  if (!Adopted.contains(Name, Incarnation))
    return Result;
  for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard) {
    if (Owners.home(Shard) == Name)
      Result.Roles[Shard] = ShardRole::Home;
    else if (Owners.backup(Shard) == Name)
      Result.Roles[Shard] = ShardRole::Backup;
  }
  return Result;
}

auto ShardRoles::ofSkipped(const View &Newest, std::uint64_t AdoptedVersion,
                           std::string_view Name, std::string_view Incarnation)
    -> std::vector<ShardRoles> {
  std::vector<ShardRoles> Result;
  for (const EarlierView &Skipped : Newest.recent()) {
    if (Skipped.Version <= AdoptedVersion ||
        Skipped.Version >= Newest.version())
      continue;
    auto Known = View::make(Skipped.Version, Skipped.Members);
    if (!Known)
      continue;
    // A host that was no member has no role, so the owners do not matter.
    bool Member = Known.value().contains(Name, Incarnation);
    Result.push_back(of(Known.value(),
                        Member ? ShardMap(Known.value()) : ShardMap(), Name,
                        Incarnation));
  }
  return Result;
}

} // namespace jayramp
