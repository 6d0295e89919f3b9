#pragma once

#include "Scheduling/JobProgress.h"
#include "Shard/CallOutcome.h"
#include "Shard/PartitionHealth.h"
#include "Shard/QueueHistory.h"
#include "Store/RowStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jayramp::shard {

/// The service whose shard a job belongs to, and the job's state.
struct LocatedJob {
  std::string Service;
  scheduling::JobState State{};

  auto operator==(const LocatedJob &) const -> bool = default;
};

/// Finds the rows of a job. One read finds a job that has progress in the shard
/// that its queue's jobs go to now. Any other job is found by its row in the
/// intake partitions, which are the same for all shards, and which names the
/// service that the job was accepted for.
class JobLocator {
public:
  using Callback = std::function<void(CallOutcome, const LocatedJob &)>;

  JobLocator(store::RowStore &Store, PartitionHealth &Health)
      : Store(Store), Health(Health) {}

  /// Reports NotFound if no row of the job exists, NotExecuted if the store
  /// could not be read by \p Deadline, Unknown if the progress row cannot be
  /// decoded.
  auto locate(const QueueServices &Services, const std::string &Job,
              TimePoint Deadline, Callback Done) -> void;

private:
  struct Search;
  using SearchPointer = std::shared_ptr<Search>;

  /// Reads the partition of each service that the progress is in as a rule.
  auto readPreferredJournals(const SearchPointer &Call) -> void;
  /// Reads every partition that may hold a row of the job.
  auto readAllPartitions(const SearchPointer &Call) -> void;
  /// Reads the progress of a job whose row names a service that was not
  /// searched yet.
  auto readJournalsOfRowsService(const SearchPointer &Call) -> void;
  auto readRow(const SearchPointer &Call, const store::RowKey &Key,
               std::function<void()> OnAllRead) -> void;
  static auto recordRow(Search &Call, store::Row Found) -> void;
  static auto report(const Search &Call) -> void;
  static auto reportProgress(const Search &Call) -> void;

  store::RowStore &Store;
  PartitionHealth &Health;
};

} // namespace jayramp::shard
