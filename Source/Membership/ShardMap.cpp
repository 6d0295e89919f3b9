#include "Membership/ShardMap.h"

#include "Membership/View.h"

#include <openssl/sha.h>

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

// SHA-256 gives the same value on every host and build, unlike std::hash. The
// length of First is part of the input, so that ("ab","c") and ("a","bc")
// differ.
auto stableHash(std::string_view First, std::string_view Second)
    -> std::uint64_t {
  std::string Input = std::to_string(First.size()) + ":";
  Input += First;
  Input += Second;
  unsigned char Digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Input.data()), Input.size(),
         Digest);
  std::uint64_t Value = 0;
  for (std::size_t Index = 0; Index < sizeof Value; ++Index)
    Value = Value << 8 | Digest[Index];
  return Value;
}

} // namespace

ShardMap::ShardMap(const View &Source) : Version(Source.version()) {
  for (const auto &Entry : Source.members())
    if (Entry.State == MemberState::Serving)
      Candidates.push_back({Entry.Name, Entry.AvailabilityZone});
  for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard) {
    auto Ranking = rankCandidates("shard/" + std::to_string(Shard));
    if (Ranking.empty())
      break;
    Homes[Shard] = Ranking.front()->Name;
    if (Ranking.size() < 2)
      continue;
    auto OtherZone = std::find_if(
        Ranking.begin() + 1, Ranking.end(), [&Ranking](const Candidate *Entry) {
          return Entry->AvailabilityZone != Ranking.front()->AvailabilityZone;
        });
    Backups[Shard] =
        OtherZone == Ranking.end() ? Ranking[1]->Name : (*OtherZone)->Name;
  }
}

auto ShardMap::home(std::uint32_t Shard) const -> const std::string & {
  return Homes.at(Shard);
}

auto ShardMap::backup(std::uint32_t Shard) const -> const std::string & {
  return Backups.at(Shard);
}

auto ShardMap::rackOwner(std::string_view Rack) const -> std::string {
  auto Ranking = rankCandidates("rack/" + std::string(Rack));
  return Ranking.empty() ? std::string() : Ranking.front()->Name;
}

auto ShardMap::scheduler() const -> std::string {
  auto Ranking = rankCandidates("scheduler");
  return Ranking.empty() ? std::string() : Ranking.front()->Name;
}

auto ShardMap::rankCandidates(std::string_view Item) const
    -> std::vector<const Candidate *> {
  std::vector<std::pair<std::uint64_t, const Candidate *>> Weighted;
  for (const auto &Entry : Candidates)
    Weighted.emplace_back(stableHash(Entry.Name, Item), &Entry);
  std::sort(Weighted.begin(), Weighted.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first
                              : A.second->Name < B.second->Name;
  });
  std::vector<const Candidate *> Ranking;
  for (const auto &Entry : Weighted)
    Ranking.push_back(Entry.second);
  return Ranking;
}

} // namespace jayramp
