#include "Shard/ProgressJournal.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace jayramp::shard {

ProgressJournal::ProgressJournal(scheduling::ShardScheduler &Scheduler,
                                 JournalPartition::Context Shared)
    : Scheduler(Scheduler), Shared(std::move(Shared)),
      OnChanged(std::move(this->Shared.OnAvailability)) {
  this->Shared.OnAvailability = [this] { onAvailability(); };
  for (const auto &Name : this->Shared.Rows.journalPartitions())
    Partitions.push_back(
        std::make_shared<JournalPartition>(this->Shared, Name));
}

auto ProgressJournal::open(std::function<void(Recovered)> Done) -> void {
  PartitionsToOpen = Partitions.size();
  for (std::size_t Number = 0; Number < Partitions.size(); ++Number)
    Partitions[Number]->open(
        [this, Number, Done](std::vector<store::Row> Rows) {
          for (auto &Row : Rows) {
            const auto Job = Row.Key.Key;
            Found[Job] = {std::move(Row), Number};
          }
          if (--PartitionsToOpen == 0)
            Done(std::exchange(Found, {}));
        });
}

auto ProgressJournal::adopt(const std::string &Job, const RecoveredRow &Found)
    -> void {
  Homes[Job] = Found.Partition;
  Partitions[Found.Partition]->noteRow(Job, Found.Row.Version);
}

auto ProgressJournal::flush() -> void {
  absorbChanges();
  for (const auto &Each : Partitions)
    Each->flush();
}

auto ProgressJournal::confirmClaims() -> void {
  for (const auto &Each : Partitions)
    Each->confirmClaim();
}

auto ProgressJournal::remove(const std::string &Job) -> void {
  const auto Home = Homes.find(Job);
  if (Home == Homes.end())
    return;
  Partitions[Home->second]->removeRow(Job);
  Homes.erase(Home);
}

auto ProgressJournal::close() -> void {
  for (const auto &Each : Partitions)
    Each->close();
}

auto ProgressJournal::changeOf(const std::string &Job) -> ProgressChange {
  absorbChanges();
  const auto Home = Homes.find(Job);
  if (Home == Homes.end())
    return {};
  return {Job, Partitions[Home->second]->changeOf(Job)};
}

auto ProgressJournal::isDurable(const ProgressChange &Change) const -> bool {
  const auto Home = Homes.find(Change.Job);
  return Home == Homes.end() ||
         Partitions[Home->second]->isDurable(Change.Job, Change.Number);
}

auto ProgressJournal::isWritable(const std::string &Job) const -> bool {
  const auto Home = Homes.find(Job);
  if (Home == Homes.end() || Partitions[Home->second]->isAvailable())
    return true;
  return std::none_of(Partitions.begin(), Partitions.end(),
                      [](const auto &Each) { return Each->isAvailable(); });
}

auto ProgressJournal::onAvailability() -> void {
  const bool AnyAvailable =
      std::any_of(Partitions.begin(), Partitions.end(),
                  [](const auto &Each) { return Each->isAvailable(); });
  for (const auto &Each : Partitions) {
    if (!AnyAvailable || Each->isAvailable())
      continue;
    for (const auto &Job : Each->releaseUnwritten()) {
      Homes.erase(Job);
      Partitions[homeOf(Job)]->markChanged(Job, ++Changes);
    }
  }
  OnChanged();
  flush();
}

auto ProgressJournal::lastConfirmed() const -> Milliseconds {
  Milliseconds Latest{0};
  for (const auto &Each : Partitions)
    Latest = std::max(Latest, Each->lastConfirmed());
  return Latest;
}

auto ProgressJournal::absorbChanges() -> void {
  for (const auto &Job :
       Scheduler.takeChangedJobs(std::numeric_limits<std::size_t>::max()))
    Partitions[homeOf(Job)]->markChanged(Job, ++Changes);
}

auto ProgressJournal::homeOf(const std::string &Job) -> std::size_t {
  const auto Known = Homes.find(Job);
  if (Known != Homes.end())
    return Known->second;
  const auto First = Shared.Rows.preferredJournalIndex(Job);
  auto Chosen = First;
  for (std::size_t Step = 0; Step < Partitions.size(); ++Step) {
    const auto Number = (First + Step) % Partitions.size();
    if (Partitions[Number]->isAvailable()) {
      Chosen = Number;
      break;
    }
  }
  Homes[Job] = Chosen;
  return Chosen;
}

} // namespace jayramp::shard
