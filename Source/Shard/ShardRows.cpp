#include "Shard/ShardRows.h"

#include "jayramp/shard/v1/shard.pb.h"

#include <algorithm>

namespace jayramp::shard {

namespace rows = jayramp::shard::v1;

namespace {

const std::string CancelSuffix = ".cancel";
constexpr unsigned IntakePartitionCount = 12;
const std::string IntakePrefix = "intake#";
constexpr unsigned JournalPartitionCount = 4;
constexpr char JournalSeparator = '$';

auto partitionNames(const std::string &Prefix, unsigned Count)
    -> std::vector<std::string> {
  std::vector<std::string> Partitions;
  for (unsigned Number = 0; Number < Count; ++Number)
    Partitions.push_back(Prefix + std::to_string(Number));
  return Partitions;
}

/// Maps an id, by its last character, to a number below \p Count that is the
/// same on all hosts.
auto bucketOf(const std::string &Id, unsigned Count) -> std::size_t {
  return Id.empty() ? 0U : static_cast<unsigned char>(Id.back()) % Count;
}

auto malformedRowError(const char *Kind) -> Error {
  return Error::make(ErrorKind::Internal, Kind,
                     "value of the row is not a valid message",
                     "check that the release that wrote the row is compatible");
}

auto encodeStep(const scheduling::StepSpec &Spec, rows::Step &Row) -> void {
  Row.set_count(Spec.Count);
  Row.set_cpu_millis(Spec.Need.CpuMillis);
  Row.set_memory_mb(Spec.Need.MemoryMb);
  Row.set_gpus(Spec.Need.Gpus);
  Row.set_estimate_ms(Spec.Estimate.count());
  Row.set_gang(Spec.Gang);
  Row.set_same_rack(Spec.SameRack);
  Row.set_checkpointing(Spec.Checkpointing);
  for (const auto Earlier : Spec.After)
    Row.add_after(Earlier);
  Row.set_required_label(Spec.RequiredLabel);
  Row.set_data_rack(Spec.DataRack);
  Row.set_max_per_worker(Spec.MaxPerWorker);
}

auto decodeStep(const rows::Step &Row) -> scheduling::StepSpec {
  scheduling::StepSpec Spec;
  Spec.Count = Row.count();
  Spec.Need = {Row.cpu_millis(), Row.memory_mb(), Row.gpus()};
  Spec.Estimate = Milliseconds(Row.estimate_ms());
  Spec.Gang = Row.gang();
  Spec.SameRack = Row.same_rack();
  Spec.Checkpointing = Row.checkpointing();
  Spec.After.assign(Row.after().begin(), Row.after().end());
  Spec.RequiredLabel = Row.required_label();
  Spec.DataRack = Row.data_rack();
  Spec.MaxPerWorker = Row.max_per_worker();
  return Spec;
}

/// Returns whether a stored logarithm of a time factor can be right: workers
/// that differ by more than a factor of e^5 do not work.
auto isPlausibleLogCents(std::int32_t LogCents) -> bool {
  constexpr std::int32_t MaxLogCents = 500;
  return LogCents >= -MaxLogCents && LogCents <= MaxLogCents;
}

} // namespace

auto ShardRows::jobKey(const std::string &Intake, const std::string &Id)
    -> store::RowKey {
  return {JobTable, Intake, Id};
}

auto ShardRows::cancelKey(const std::string &Intake, const std::string &Id)
    -> store::RowKey {
  return {JobTable, Intake, Id + CancelSuffix};
}

auto ShardRows::waitingKey(const std::string &Intake, const std::string &Queue,
                           const std::string &Id) -> store::RowKey {
  return {WaitingTable, Intake, Queue + '/' + Id};
}

auto ShardRows::progressKey(const std::string &Journal, const std::string &Id)
    -> store::RowKey {
  return {ProgressTable, Journal, Id};
}

auto ShardRows::waitingQueries(const std::string &Queue)
    -> std::vector<store::RangeQuery> {
  std::vector<store::RangeQuery> Queries;
  // '0' is the byte after '/', so the range covers all keys that start with
  // the queue's name and '/'.
  for (const auto &Partition : intakePartitions())
    Queries.push_back({WaitingTable, Partition, Queue + '/', Queue + '0'});
  return Queries;
}

auto ShardRows::intakePartitions() -> std::vector<std::string> {
  return partitionNames(IntakePrefix, IntakePartitionCount);
}

auto ShardRows::intakePartitionsFor(const std::string &Id)
    -> std::vector<std::string> {
  auto Partitions = intakePartitions();
  std::rotate(Partitions.begin(),
              Partitions.begin() + static_cast<std::ptrdiff_t>(
                                       bucketOf(Id, IntakePartitionCount)),
              Partitions.end());
  return Partitions;
}

auto ShardRows::journalPartitions() const -> std::vector<std::string> {
  return partitionNames(Shard + JournalSeparator, JournalPartitionCount);
}

auto ShardRows::preferredJournalIndex(const std::string &Id) const
    -> std::size_t {
  return bucketOf(Id, JournalPartitionCount);
}

auto ShardRows::isIntakePartition(const std::string &Partition) -> bool {
  return Partition.starts_with(IntakePrefix);
}

auto ShardRows::ownerKey() const -> store::RowKey {
  return {OwnershipTable, Shard, OwnerKey};
}

auto ShardRows::heartbeatKey() const -> store::RowKey {
  return {OwnershipTable, Shard, HeartbeatKey};
}

auto ShardRows::speedKey() const -> store::RowKey {
  return {SpeedTable, Shard, SpeedKey};
}

auto ShardRows::claimKey(const std::string &Journal) const -> store::RowKey {
  return {ClaimTable, Journal, OwnerKey};
}

auto ShardRows::confirmationKey(const std::string &Journal) const
    -> store::RowKey {
  return {ClaimTable, Journal, ConfirmationKey};
}

auto ShardRows::jobIdOfCancelKey(const std::string &Key) -> std::string {
  if (Key.size() <= CancelSuffix.size() || !Key.ends_with(CancelSuffix))
    return {};
  return Key.substr(0, Key.size() - CancelSuffix.size());
}

auto encodeJob(const scheduling::JobSpec &Spec) -> std::string {
  rows::JobRow Row;
  Row.set_id(Spec.Id);
  Row.set_queue(Spec.Queue);
  Row.set_tenant(Spec.Tenant);
  Row.set_service(Spec.Service);
  Row.set_priority(Spec.Priority);
  Row.set_max_attempts(Spec.MaxAttempts);
  Row.set_stretch(Spec.Stretch);
  Row.set_target_latency_ms(Spec.TargetLatency.count());
  Row.set_accepted_unix_ms(Spec.AcceptedUnixMs);
  Row.set_payload(Spec.Payload);
  for (const auto &Step : Spec.Steps)
    encodeStep(Step, *Row.add_steps());
  return Row.SerializeAsString();
}

auto decodeJob(const std::string &Value) -> Result<scheduling::JobSpec> {
  rows::JobRow Row;
  if (!Row.ParseFromString(Value))
    return malformedRowError("job");
  scheduling::JobSpec Spec;
  Spec.Id = Row.id();
  Spec.Queue = Row.queue();
  Spec.Tenant = Row.tenant();
  Spec.Service = Row.service();
  Spec.Priority = Row.priority();
  Spec.MaxAttempts = Row.max_attempts();
  Spec.Stretch = Row.stretch();
  Spec.TargetLatency = Milliseconds(Row.target_latency_ms());
  Spec.AcceptedUnixMs = Row.accepted_unix_ms();
  Spec.Payload = Row.payload();
  for (const auto &Step : Row.steps())
    Spec.Steps.push_back(decodeStep(Step));
  if (!Spec.isWellFormed())
    return malformedRowError("job");
  return Spec;
}

auto encodeProgress(const scheduling::JobProgress &Progress) -> std::string {
  rows::ProgressRow Row;
  Row.set_state(static_cast<rows::JobState>(Progress.State));
  for (const auto &Step : Progress.Steps) {
    auto &StepRow = *Row.add_steps();
    for (const auto &Task : Step) {
      auto &TaskRow = *StepRow.add_tasks();
      TaskRow.set_last_run(Task.LastRunNumber);
      TaskRow.set_done(Task.Done);
      TaskRow.set_failures(Task.FailureCount);
      TaskRow.set_failed_run(Task.LastFailedRunNumber);
      TaskRow.set_checkpoint(Task.Checkpoint);
      TaskRow.set_worker(Task.Worker);
      TaskRow.set_incarnation(Task.Incarnation);
    }
  }
  return Row.SerializeAsString();
}

auto decodeProgress(const std::string &Value)
    -> Result<scheduling::JobProgress> {
  rows::ProgressRow Row;
  if (!Row.ParseFromString(Value))
    return malformedRowError("progress");
  scheduling::JobProgress Progress;
  Progress.State = static_cast<scheduling::JobState>(Row.state());
  for (const auto &StepRow : Row.steps()) {
    auto &Step = Progress.Steps.emplace_back();
    for (const auto &TaskRow : StepRow.tasks())
      Step.push_back({TaskRow.last_run(), TaskRow.done(), TaskRow.failures(),
                      TaskRow.failed_run(), TaskRow.checkpoint(),
                      TaskRow.worker(), TaskRow.incarnation()});
  }
  return Progress;
}

auto encodeOwner(const OwnerRecord &Owner) -> std::string {
  rows::OwnerRow Row;
  Row.set_host(Owner.Host);
  Row.set_incarnation(Owner.Incarnation);
  Row.set_fencing_token(Owner.FencingToken);
  Row.set_released(Owner.Released);
  return Row.SerializeAsString();
}

auto decodeOwner(const std::string &Value) -> Result<OwnerRecord> {
  rows::OwnerRow Row;
  if (!Row.ParseFromString(Value))
    return malformedRowError("owner");
  return OwnerRecord{Row.host(), Row.incarnation(), Row.fencing_token(),
                     Row.released()};
}

auto encodeHeartbeat(const Heartbeat &Beat) -> std::string {
  rows::HeartbeatRow Row;
  Row.set_fencing_token(Beat.FencingToken);
  Row.set_sequence(Beat.Sequence);
  Row.set_counted(Beat.Waiting.has_value());
  if (Beat.Waiting)
    Row.mutable_waiting()->insert(Beat.Waiting->begin(), Beat.Waiting->end());
  Row.set_jobs(Beat.JobCount);
  if (Beat.Forecast) {
    auto &Forecast = *Row.mutable_forecast();
    for (const auto &[Priority, Wait] : Beat.Forecast->RoomWaits) {
      auto &Waits = (*Forecast.mutable_room_waits())[Priority];
      Waits.set_on_time_ms(Wait.OnTime.count());
      Waits.set_useful_ms(Wait.Useful.count());
    }
    Forecast.mutable_backlog_shares()->insert(
        Beat.Forecast->BacklogShares.begin(),
        Beat.Forecast->BacklogShares.end());
  }
  return Row.SerializeAsString();
}

auto decodeHeartbeat(const std::string &Value) -> Result<Heartbeat> {
  rows::HeartbeatRow Row;
  if (!Row.ParseFromString(Value))
    return malformedRowError("heartbeat");
  Heartbeat Beat{Row.fencing_token(), Row.sequence(), std::nullopt,
                 std::nullopt, Row.jobs()};
  if (Row.counted())
    Beat.Waiting.emplace(Row.waiting().begin(), Row.waiting().end());
  if (Row.has_forecast()) {
    const auto &Forecast = Row.forecast();
    Beat.Forecast.emplace();
    for (const auto &[Priority, Waits] : Forecast.room_waits())
      Beat.Forecast->RoomWaits[Priority] = {Milliseconds(Waits.on_time_ms()),
                                            Milliseconds(Waits.useful_ms())};
    Beat.Forecast->BacklogShares.insert(Forecast.backlog_shares().begin(),
                                        Forecast.backlog_shares().end());
  }
  return Beat;
}

auto encodeSpeeds(const scheduling::SpeedSummary &Speeds) -> std::string {
  rows::SpeedRow Row;
  for (const auto &Each : Speeds.Groups) {
    auto &Group = *Row.add_groups();
    Group.set_level(static_cast<rows::SpeedLevel>(Each.Level));
    Group.set_name(Each.Name);
    Group.set_log_cents(Each.LogCents);
  }
  for (const auto &[Hash, LogCents] : Speeds.SlowWorkers) {
    Row.add_slow_workers(Hash);
    Row.add_slow_worker_log_cents(LogCents);
  }
  return Row.SerializeAsString();
}

auto decodeSpeeds(const std::string &Value)
    -> Result<scheduling::SpeedSummary> {
  using scheduling::SpeedSummary;
  constexpr auto MaxGroups = static_cast<int>(
      (scheduling::SpeedLevelCount - 1) * SpeedSummary::MaxStoredGroups);
  constexpr auto MaxWorkers = static_cast<int>(SpeedSummary::MaxSlowWorkers);
  rows::SpeedRow Row;
  if (!Row.ParseFromString(Value) || Row.groups_size() > MaxGroups ||
      Row.slow_workers_size() > MaxWorkers ||
      Row.slow_workers_size() != Row.slow_worker_log_cents_size())
    return malformedRowError("speeds");
  SpeedSummary Speeds;
  for (const auto &Group : Row.groups()) {
    if (!rows::SpeedLevel_IsValid(Group.level()) ||
        !isPlausibleLogCents(Group.log_cents()))
      return malformedRowError("speeds");
    Speeds.Groups.push_back({static_cast<scheduling::SpeedLevel>(Group.level()),
                             Group.name(), Group.log_cents()});
  }
  for (int Index = 0; Index < Row.slow_workers_size(); ++Index) {
    if (!isPlausibleLogCents(Row.slow_worker_log_cents(Index)))
      return malformedRowError("speeds");
    Speeds.SlowWorkers[Row.slow_workers(Index)] =
        Row.slow_worker_log_cents(Index);
  }
  return Speeds;
}

} // namespace jayramp::shard
