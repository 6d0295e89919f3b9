#include "Shard/JobIntakes.h"

#include "Shard/ShardRows.h"

#include <utility>

namespace jayramp::shard {

auto JobIntakes::recordJob(const store::Row &Stored,
                           const scheduling::JobSpec &Spec) -> bool {
  const auto &Partition = Stored.Key.Partition;
  recordRemoval(Stored.Key); // Of a row that was stored under this key before.
  const auto [Found, IsFirst] = Entries.try_emplace(Stored.Key.Key);
  auto &Known = Found->second;
  if (IsFirst) {
    Known.Service = Spec.Service;
    Known.Partition = Partition;
  }
  Known.JobRows[Partition] = {Spec.Queue, Stored.Version};
  return Known.Service == Service;
}

auto JobIntakes::recordCancel(const std::string &Job,
                              const std::string &Partition) -> void {
  if (const auto Found = Entries.find(Job); Found != Entries.end())
    Found->second.CancelPartitions.insert(Partition);
}

auto JobIntakes::recordRemoval(const store::RowKey &Removed) -> void {
  Obsolete.erase(Removed);
  const auto Found = Entries.find(Removed.Key);
  if (Found == Entries.end())
    return;
  auto &Known = Found->second;
  Known.JobRows.erase(Removed.Partition);
  if (Known.Service != Service && Known.Partition == Removed.Partition)
    Entries.erase(Found);
}

auto JobIntakes::isRecorded(const store::Row &JobRow) const -> bool {
  const auto Forgotten = Obsolete.find(JobRow.Key);
  if (Forgotten != Obsolete.end())
    return JobRow.Version <= Forgotten->second;
  const auto Found = Entries.find(JobRow.Key.Key);
  if (Found == Entries.end())
    return false;
  const auto &Rows = Found->second.JobRows;
  const auto Known = Rows.find(JobRow.Key.Partition);
  return Known != Rows.end() && JobRow.Version <= Known->second.Version;
}

auto JobIntakes::startSnapshot(const std::vector<store::Row> &All) -> void {
  std::erase_if(Entries, [this](const auto &Named) {
    return Named.second.Service != Service;
  });
  std::map<store::RowKey, std::uint64_t> Left;
  for (const auto &Each : All)
    if (const auto Found = Obsolete.find(Each.Key); Found != Obsolete.end())
      Left.insert(*Found);
  Obsolete = std::move(Left);
}

auto JobIntakes::ownEntry(const std::string &Job) const -> const Entry * {
  const auto Found = Entries.find(Job);
  if (Found == Entries.end() || Found->second.Service != Service)
    return nullptr;
  return &Found->second;
}

auto JobIntakes::waitingKeys(const std::string &Job) const
    -> std::vector<store::RowKey> {
  std::vector<store::RowKey> Keys;
  if (const auto *Known = ownEntry(Job))
    for (const auto &[Partition, Row] : Known->JobRows)
      Keys.push_back(ShardRows::waitingKey(Partition, Row.Queue, Job));
  return Keys;
}

auto JobIntakes::extract(const std::string &Job) -> ObsoleteRows {
  ObsoleteRows Rows;
  if (!ownEntry(Job))
    return Rows;
  const auto Known = Entries.extract(Job).mapped();
  std::set<std::string> Partitions = Known.CancelPartitions;
  for (const auto &[Partition, Row] : Known.JobRows) {
    Partitions.insert(Partition);
    Obsolete[ShardRows::jobKey(Partition, Job)] = Row.Version;
  }
  Partitions.insert(Known.Partition);
  for (const auto &Partition : Partitions) {
    std::vector<store::RowKey> Keys{ShardRows::jobKey(Partition, Job),
                                    ShardRows::cancelKey(Partition, Job)};
    // Usually removed long before, but an owner may end before it does so.
    if (const auto Row = Known.JobRows.find(Partition);
        Row != Known.JobRows.end())
      Keys.push_back(ShardRows::waitingKey(Partition, Row->second.Queue, Job));
    if (Partition == Known.Partition)
      Rows.First = std::move(Keys);
    else
      Rows.Others.push_back(std::move(Keys));
  }
  return Rows;
}

} // namespace jayramp::shard
