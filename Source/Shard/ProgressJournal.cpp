#include "Shard/ProgressJournal.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace jayramp::shard {

ProgressJournal::ProgressJournal(scheduling::ShardScheduler &Scheduler,
                                 JournalPartition::Context SharedContext)
    : Scheduler(Scheduler), SharedContext(std::move(SharedContext)),
      OnChanged(std::move(this->SharedContext.OnAvailabilityChanged)) {
  this->SharedContext.OnAvailabilityChanged = [this] {
    onAvailabilityChanged();
  };
  for (const auto &Name : this->SharedContext.Rows.journalPartitions())
    Partitions.push_back(
        std::make_shared<JournalPartition>(this->SharedContext, Name));
}

auto ProgressJournal::open(std::function<void(RecoveredRows)> Done) -> void {
  PartitionsToOpen = Partitions.size();
  for (std::size_t Index = 0; Index < Partitions.size(); ++Index)
    Partitions[Index]->open([this, Index, Done](std::vector<store::Row> Rows) {
      for (auto &Row : Rows) {
        const auto Job = Row.Key.Key;
        RowsFound[Job] = {std::move(Row), Index};
      }
      if (--PartitionsToOpen == 0)
        Done(std::exchange(RowsFound, {}));
    });
}

auto ProgressJournal::restoreRow(const std::string &Job,
                                 const RecoveredRow &Found) -> void {
  PartitionOfJob[Job] = Found.Partition;
  Partitions[Found.Partition]->setRowVersion(Job, Found.Row.Version);
}

auto ProgressJournal::flush() -> void {
  collectChangedJobs();
  for (const auto &Each : Partitions)
    Each->flush();
}

auto ProgressJournal::confirmClaims() -> void {
  for (const auto &Each : Partitions)
    Each->confirmClaim();
}

auto ProgressJournal::remove(const std::string &Job) -> void {
  const auto Assigned = PartitionOfJob.find(Job);
  if (Assigned == PartitionOfJob.end())
    return;
  Partitions[Assigned->second]->removeRow(Job);
  PartitionOfJob.erase(Assigned);
}

auto ProgressJournal::close() -> void {
  for (const auto &Each : Partitions)
    Each->close();
}

auto ProgressJournal::latestChange(const std::string &Job) -> ProgressChange {
  collectChangedJobs();
  const auto Assigned = PartitionOfJob.find(Job);
  if (Assigned == PartitionOfJob.end())
    return {};
  return {Job, Partitions[Assigned->second]->latestChange(Job)};
}

auto ProgressJournal::isDurable(const ProgressChange &Change) const -> bool {
  const auto Assigned = PartitionOfJob.find(Change.Job);
  return Assigned == PartitionOfJob.end() ||
         Partitions[Assigned->second]->isDurable(Change.Job, Change.Number);
}

auto ProgressJournal::isWritable(const std::string &Job) const -> bool {
  const auto Assigned = PartitionOfJob.find(Job);
  if (Assigned == PartitionOfJob.end() ||
      Partitions[Assigned->second]->isAvailable())
    return true;
  return std::none_of(Partitions.begin(), Partitions.end(),
                      [](const auto &Each) { return Each->isAvailable(); });
}

auto ProgressJournal::onAvailabilityChanged() -> void {
  const bool AnyAvailable =
      std::any_of(Partitions.begin(), Partitions.end(),
                  [](const auto &Each) { return Each->isAvailable(); });
  for (const auto &Each : Partitions) {
    if (!AnyAvailable || Each->isAvailable())
      continue;
    for (const auto &Job : Each->releaseUnwrittenJobs()) {
      PartitionOfJob.erase(Job);
      Partitions[assignPartition(Job)]->markChanged(Job, ++Changes);
    }
  }
  OnChanged();
  flush();
}

auto ProgressJournal::recovery() const -> JournalRecovery {
  JournalRecovery Remaining;
  for (const auto &Each : Partitions)
    if (!Each->isClaimed())
      Remaining.Unclaimed.push_back(Each->name());
    else if (!Each->isOpen())
      Remaining.Unread.push_back(Each->name());
  return Remaining;
}

auto ProgressJournal::lastConfirmedAt() const -> Milliseconds {
  Milliseconds Latest{0};
  for (const auto &Each : Partitions)
    Latest = std::max(Latest, Each->lastConfirmedAt());
  return Latest;
}

auto ProgressJournal::collectChangedJobs() -> void {
  for (const auto &Job :
       Scheduler.takeChangedJobs(std::numeric_limits<std::size_t>::max()))
    Partitions[assignPartition(Job)]->markChanged(Job, ++Changes);
}

auto ProgressJournal::assignPartition(const std::string &Job) -> std::size_t {
  const auto Known = PartitionOfJob.find(Job);
  if (Known != PartitionOfJob.end())
    return Known->second;
  const auto Preferred = SharedContext.Rows.preferredJournalIndex(Job);
  auto Chosen = Preferred;
  for (std::size_t Offset = 0; Offset < Partitions.size(); ++Offset) {
    const auto Index = (Preferred + Offset) % Partitions.size();
    if (Partitions[Index]->isAvailable()) {
      Chosen = Index;
      break;
    }
  }
  PartitionOfJob[Job] = Chosen;
  return Chosen;
}

} // namespace jayramp::shard
