#include "Jobs/JobStore.h"

#include "Base/EventLog.h"
#include "Base/Identifier.h"
#include "Jobs/JobRowMapping.h"
#include "Platform/ObjectStore.h"
#include "Platform/TableService.h"
#include "Platform/TableTransaction.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace jayramp {

namespace {

const std::string JobTable = "jobs";
const std::string TopologyTable = "topology";
const std::string TopologyKey = "workers";

/// Returns the check that `membership/view` has this version; none for 0.
auto viewCheck(std::uint64_t Version) -> std::vector<RowCheck> {
  if (Version == 0)
    return {};
  return {{"membership", "view", Version}};
}

} // namespace

JobStore::JobStore(TableService &Tables, ObjectStore &Objects)
    : Tables(Tables), Objects(Objects) {}

auto JobStore::jobId(const std::string &Account, const std::string &Key)
    -> std::string {
  // The length prefix distinguishes ("ab", "c") from ("a", "bc").
  boost::uuids::name_generator_sha1 Hash(boost::uuids::ns::oid());
  return boost::uuids::to_string(
      Hash(std::to_string(Account.size()) + ":" + Account + Key));
}

auto JobStore::storePayload(JobRow &Job, std::string Payload) -> Result<void> {
  if (Payload.size() <= InlinePayloadLimit) {
    Job.Payload = std::move(Payload);
    return success();
  }
  Job.PayloadKey = "job-" + Job.Specification.Id;
  return Objects.put(Job.PayloadKey, Payload);
}

auto JobStore::refresh() -> Result<void> {
  std::lock_guard Serialize(RefreshMutex);
  BOOST_OUTCOME_TRY(Changes, Tables.changes(JobTable, Revision));
  std::lock_guard Lock(Mutex);
  Revision = Changes.Revision;
  if (!Changes.Rows.empty())
    ++Sequence;
  for (const auto &Row : Changes.Rows) {
    auto Parsed = parseJobRow(Row);
    if (!Parsed) {
      logEvent(LogLevel::Error, "job_row_unreadable",
               {{"error", Parsed.error().message()}});
      continue;
    }
    JobRow Job = std::move(Parsed).value();
    if (Job.isFinal())
      Job.Payload.clear();
    auto Id = Job.Specification.Id;
    Rows[Id] = {std::move(Job), Sequence};
  }
  return success();
}

auto JobStore::cachedRows() const -> std::vector<JobRow> {
  std::uint64_t Cursor = 0;
  return rowsChangedSince(Cursor);
}

auto JobStore::rowsChangedSince(std::uint64_t &Cursor) const
    -> std::vector<JobRow> {
  std::lock_guard Lock(Mutex);
  std::vector<JobRow> Changed;
  if (Cursor == Sequence)
    return Changed;
  for (const auto &[Id, Row] : Rows)
    if (Row.Sequence > Cursor)
      Changed.push_back(Row.Job);
  Cursor = Sequence;
  return Changed;
}

auto JobStore::cachedRow(const std::string &Id) const -> std::optional<JobRow> {
  std::lock_guard Lock(Mutex);
  auto Found = Rows.find(Id);
  if (Found == Rows.end())
    return std::nullopt;
  return Found->second.Job;
}

auto JobStore::read(const std::string &Id) -> Result<std::optional<JobRow>> {
  BOOST_OUTCOME_TRY(Row, Tables.read(JobTable, Id));
  if (!Row)
    return std::optional<JobRow>();
  BOOST_OUTCOME_TRY(Job, parseJobRow(*Row));
  return std::optional<JobRow>(std::move(Job));
}

auto JobStore::write(const std::string &WriteId,
                     const std::vector<JobRow> &Jobs, std::uint64_t ViewVersion)
    -> Result<JobWriteResult> {
  TableTransaction Transaction{WriteId, viewCheck(ViewVersion), {}};
  for (const auto &Job : Jobs)
    Transaction.Writes.push_back(
        {JobTable, Job.Specification.Id, Job.Version, serializeJobRow(Job)});
  BOOST_OUTCOME_TRY(Outcome, Tables.commit(Transaction));
  if (const auto *Success = std::get_if<TransactionCommitted>(&Outcome))
    return JobWriteResult(JobWriteSuccess{Success->Versions});
  JobWriteConflict WriteConflict;
  for (const auto &Conflict :
       std::get<TransactionConflict>(Outcome).Conflicts) {
    if (Conflict.Table != JobTable) {
      WriteConflict.ViewChanged = true;
      continue;
    }
    auto Parsed = parseJobRow(Conflict.Current);
    if (Parsed)
      WriteConflict.CurrentRows.push_back(std::move(Parsed).value());
  }
  return JobWriteResult(std::move(WriteConflict));
}

auto JobStore::readTopology() -> Result<std::vector<WorkerDescription>> {
  BOOST_OUTCOME_TRY(Row, Tables.read(TopologyTable, TopologyKey));
  if (!Row)
    return std::vector<WorkerDescription>();
  return parseWorkers(Row->Value);
}

auto JobStore::publishTopology(const std::vector<WorkerDescription> &Workers,
                               std::uint64_t ViewVersion) -> Result<void> {
  BOOST_OUTCOME_TRY(Row, Tables.read(TopologyTable, TopologyKey));
  auto Text = serializeWorkers(Workers);
  if (Row && Row->Value == Text)
    return success();
  BOOST_OUTCOME_TRY(
      Outcome, Tables.commit({makeIdentifier(),
                              viewCheck(ViewVersion),
                              {{TopologyTable, TopologyKey,
                                Row ? Row->Version : 0, std::move(Text)}}}));
  if (std::holds_alternative<TransactionConflict>(Outcome))
    return Error::make(ErrorKind::Conflict, "topology/workers",
                       "another scheduler has written it",
                       "no action needed; it is written again");
  return success();
}

} // namespace jayramp
