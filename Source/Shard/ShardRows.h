#pragma once

#include "Base/Result.h"
#include "Scheduling/JobProgress.h"
#include "Scheduling/JobSpec.h"
#include "Store/RowStore.h"

#include <string>
#include <vector>

namespace jayramp::shard {

/// Who schedules a shard.
struct OwnerRecord {
  std::string Host;
  std::string Incarnation;
  std::uint64_t FencingToken = 0;
  bool Released = false;

  auto operator==(const OwnerRecord &) const -> bool = default;
};

/// Names of the rows of a shard. The owner's rows lie in one partition, which
/// is named after the shard, so that one transaction can check the owner and
/// change progress. Accepted jobs are spread over intake partitions, so that
/// entry hosts that accept jobs and the owner do not wait for each other: the
/// store applies the transactions of one partition one after another.
class ShardRows {
public:
  static constexpr const char *JobTable = "jobs";
  static constexpr const char *ProgressTable = "progress";
  static constexpr const char *WaitingTable = "waiting";
  static constexpr const char *OwnershipTable = "ownership";
  static constexpr const char *OwnerKey = "owner";
  static constexpr const char *HeartbeatKey = "heartbeat";

  explicit ShardRows(std::string Shard) : Shard(std::move(Shard)) {}

  auto job(const std::string &Id) const -> store::RowKey;
  auto cancel(const std::string &Id) const -> store::RowKey;
  auto progress(const std::string &Id) const -> store::RowKey;
  /// Exists while no task of the job has started.
  auto waiting(const std::string &Queue, const std::string &Id) const
      -> store::RowKey;
  /// All waiting rows of a queue: one query for each intake partition.
  auto waitingOf(const std::string &Queue) const
      -> std::vector<store::RangeQuery>;
  auto intakePartitions() const -> std::vector<std::string>;
  /// Whether a partition is one of this shard's intake partitions.
  auto isIntake(const std::string &Partition) const -> bool;
  auto owner() const -> store::RowKey;
  auto heartbeat() const -> store::RowKey;
  /// Job of a cancel row's key, empty for other keys of the job table.
  static auto cancelledJob(const std::string &Key) -> std::string;

private:
  auto intakeOf(const std::string &Id) const -> std::string;

  std::string Shard;
};

auto encodeJob(const scheduling::JobSpec &Spec) -> std::string;
auto decodeJob(const std::string &Value) -> Result<scheduling::JobSpec>;
auto encodeProgress(const scheduling::JobProgress &Progress) -> std::string;
auto decodeProgress(const std::string &Value)
    -> Result<scheduling::JobProgress>;
auto encodeOwner(const OwnerRecord &Owner) -> std::string;
auto decodeOwner(const std::string &Value) -> Result<OwnerRecord>;
auto encodeHeartbeat(std::uint64_t FencingToken, std::uint64_t Sequence)
    -> std::string;

} // namespace jayramp::shard
