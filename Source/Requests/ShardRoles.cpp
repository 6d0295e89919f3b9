#include "Requests/ShardRoles.h"

#include "Membership/ShardMap.h"
#include "Membership/View.h"

#include <algorithm>

namespace jayramp {

namespace {

/// The incarnation as which the process is a member of \p Source, if any.
auto memberIncarnation(const View &Source, std::string_view Name,
                       const std::vector<std::string> &Incarnations)
    -> const std::string * {
  auto Found = std::find_if(
      Incarnations.begin(), Incarnations.end(),
      [&](const std::string &Entry) { return Source.contains(Name, Entry); });
  return Found == Incarnations.end() ? nullptr : &*Found;
}

} // namespace

auto ShardRoles::of(const View &Adopted, const ShardMap &Owners,
                    std::string_view Name,
                    const std::vector<std::string> &Incarnations)
    -> ShardRoles {
  const std::string *Own = memberIncarnation(Adopted, Name, Incarnations);
  ShardRoles Result;
  Result.ViewVersion = Adopted.version();
  Result.OwnIncarnation = Own ? *Own : Incarnations.back();
  Result.FirstOfDeployment = Adopted.version() == 1;
  for (const Member &Entry : Adopted.members())
    Result.Members.insert(Entry.Incarnation);
  // An earlier process under this name took its keys with it: what it was home
  // of is not known to this one.
  if (!Own)
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
                           std::string_view Name,
                           const std::vector<std::string> &Incarnations)
    -> std::vector<ShardRoles> {
  std::vector<ShardRoles> Result;
  for (const EarlierView &Skipped : Newest.recentViews()) {
    if (Skipped.Version <= AdoptedVersion ||
        Skipped.Version >= Newest.version())
      continue;
    auto Known = View::make(Skipped.Version, Skipped.Members);
    if (!Known)
      continue;
    // A host that was no member has no role, so the owners do not matter.
    bool Member = memberIncarnation(Known.value(), Name, Incarnations);
    Result.push_back(of(Known.value(),
                        Member ? ShardMap(Known.value()) : ShardMap(), Name,
                        Incarnations));
  }
  return Result;
}

} // namespace jayramp
