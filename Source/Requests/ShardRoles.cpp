#include "Requests/ShardRoles.h"

#include "Membership/ShardMap.h"
#include "Membership/View.h"

#include <algorithm>

namespace jayramp {

namespace {

/// Returns the incarnation under which this process is a member of \p Source;
/// nullptr if it is not a member.
auto memberIncarnation(const View &Source, std::string_view Name,
                       const std::vector<std::string> &Incarnations)
    -> const std::string * {
  auto Found = std::find_if(
      Incarnations.begin(), Incarnations.end(),
      [&](const std::string &Entry) { return Source.contains(Name, Entry); });
  return Found == Incarnations.end() ? nullptr : &*Found;
}

} // namespace

auto ShardRoles::forView(const View &Adopted, const ShardMap &Owners,
                         std::string_view Name,
                         const std::vector<std::string> &Incarnations)
    -> ShardRoles {
  const std::string *Own = memberIncarnation(Adopted, Name, Incarnations);
  ShardRoles Result;
  Result.ViewVersion = Adopted.version();
  Result.OwnIncarnation = Own ? *Own : Incarnations.back();
  Result.IsFirstView = Adopted.version() == 1;
  for (const Member &Entry : Adopted.members())
    Result.Members.insert(Entry.Incarnation);
  // A member with this name but another incarnation is an earlier process,
  // whose records were lost with it. This process has no role in the view.
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

auto ShardRoles::forSkippedViews(const View &Newest,
                                 std::uint64_t AdoptedVersion,
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
    // A host that was not a member has no role, so its shard map may be empty.
    bool Member = memberIncarnation(Known.value(), Name, Incarnations);
    Result.push_back(forView(Known.value(),
                             Member ? ShardMap(Known.value()) : ShardMap(),
                             Name, Incarnations));
  }
  return Result;
}

} // namespace jayramp
