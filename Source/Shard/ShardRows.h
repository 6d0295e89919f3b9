#pragma once

#include "Base/Result.h"
#include "Scheduling/JobProgress.h"
#include "Scheduling/JobSpec.h"
#include "Scheduling/SpeedSummary.h"
#include "Shard/AdmissionForecast.h"
#include "Store/RowStore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jayramp::shard {

/// Identifies the process that schedules a shard.
struct OwnerRecord {
  std::string Host;
  std::string Incarnation;
  std::uint64_t FencingToken = 0;
  bool Released = false;

  auto operator==(const OwnerRecord &) const -> bool = default;
};

/// Written by an owner at intervals to show that it is alive.
struct Heartbeat {
  std::uint64_t FencingToken = 0;
  std::uint64_t Sequence = 0;
  /// Number of jobs of each queue of which no task has started; absent while
  /// the owner does not know all jobs.
  std::optional<std::map<std::string, std::uint64_t>> Waiting;
  /// Absent while the owner cannot tell when tasks find room.
  std::optional<AdmissionForecast> Forecast;
  /// Number of jobs that the owner knows, final ones included; 0 if Waiting is
  /// absent.
  std::uint64_t JobCount = 0;

  auto operator==(const Heartbeat &) const -> bool = default;
};

/// Keys and partitions of the rows of a shard. The owner row and the heartbeat
/// row are in a partition that is named after the shard.
///
/// The other rows are spread over several partitions, because the store may
/// fail to serve some partitions and applies the transactions of one partition
/// one after another. Accepted jobs go to intake partitions, which owners do
/// not write progress to, so that entry hosts do not wait for an owner. All
/// shards share them: a job must be found, and must be stored only once, also
/// after its queue was sent to another service. Progress goes to the journal
/// partitions of the shard. Each of these has a claim row of the owner, so that
/// one transaction can check the claim and change progress.
class ShardRows {
public:
  static constexpr const char *JobTable = "jobs";
  static constexpr const char *ProgressTable = "progress";
  static constexpr const char *WaitingTable = "waiting";
  static constexpr const char *OwnershipTable = "ownership";
  static constexpr const char *ClaimTable = "claims";
  static constexpr const char *SpeedTable = "speeds";
  static constexpr const char *OwnerKey = "owner";
  static constexpr const char *HeartbeatKey = "heartbeat";
  static constexpr const char *SpeedKey = "workers";
  static constexpr const char *ConfirmationKey = "confirmation";

  explicit ShardRows(std::string Shard) : Shard(std::move(Shard)) {}

  static auto jobKey(const std::string &Intake, const std::string &Id)
      -> store::RowKey;
  static auto cancelKey(const std::string &Intake, const std::string &Id)
      -> store::RowKey;
  /// Key of a row that exists while no task of the job has started.
  static auto waitingKey(const std::string &Intake, const std::string &Queue,
                         const std::string &Id) -> store::RowKey;
  static auto progressKey(const std::string &Journal, const std::string &Id)
      -> store::RowKey;
  /// Returns the queries that match all waiting rows of a queue, one for each
  /// intake partition.
  static auto waitingQueries(const std::string &Queue)
      -> std::vector<store::RangeQuery>;
  static auto intakePartitions() -> std::vector<std::string>;
  /// Returns the intake partitions in the order in which writes for a job
  /// should try them.
  static auto intakePartitionsFor(const std::string &Id)
      -> std::vector<std::string>;
  auto journalPartitions() const -> std::vector<std::string>;
  /// Returns the index of the journal partition that a job should use if the
  /// store serves it.
  auto preferredJournalIndex(const std::string &Id) const -> std::size_t;
  static auto isIntakePartition(const std::string &Partition) -> bool;
  auto ownerKey() const -> store::RowKey;
  auto heartbeatKey() const -> store::RowKey;
  /// Key of a row with what the owner has learned of the speeds of workers. It
  /// can be changed in one transaction with the heartbeat row.
  auto speedKey() const -> store::RowKey;
  /// Key of the row that names the owner that may write to a journal partition.
  auto claimKey(const std::string &Journal) const -> store::RowKey;
  /// Key of a row that is written to check whether the claim is still valid.
  auto confirmationKey(const std::string &Journal) const -> store::RowKey;
  /// Returns the job id of a cancel row's key; empty for other keys of the job
  /// table.
  static auto jobIdOfCancelKey(const std::string &Key) -> std::string;

private:
  std::string Shard;
};

// Encode and decode the values of rows. Decoding fails with ErrorKind::Internal
// if the value is not a valid message.
auto encodeJob(const scheduling::JobSpec &Spec) -> std::string;
auto decodeJob(const std::string &Value) -> Result<scheduling::JobSpec>;
auto encodeProgress(const scheduling::JobProgress &Progress) -> std::string;
auto decodeProgress(const std::string &Value)
    -> Result<scheduling::JobProgress>;
auto encodeOwner(const OwnerRecord &Owner) -> std::string;
auto decodeOwner(const std::string &Value) -> Result<OwnerRecord>;
auto encodeHeartbeat(const Heartbeat &Beat) -> std::string;
auto decodeHeartbeat(const std::string &Value) -> Result<Heartbeat>;
auto encodeSpeeds(const scheduling::SpeedSummary &Speeds) -> std::string;
auto decodeSpeeds(const std::string &Value) -> Result<scheduling::SpeedSummary>;

} // namespace jayramp::shard
