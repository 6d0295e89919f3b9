#include "Jobs/JobRowMapping.h"

#include "Platform/TableRow.h"

#include <cpprest/json.h>

#include <utility>

namespace jayramp {

using web::json::value;

namespace {

auto toBase64(const std::string &Bytes) -> std::string {
  return utility::conversions::to_base64(
      std::vector<unsigned char>(Bytes.begin(), Bytes.end()));
}

auto fromBase64(const std::string &Text) -> std::string {
  auto Bytes = utility::conversions::from_base64(Text);
  return {Bytes.begin(), Bytes.end()};
}

auto readText(const value &Json, const char *Field) -> std::string {
  return Json.has_field(Field) ? Json.at(Field).as_string() : std::string();
}

auto readNumber(const value &Json, const char *Field) -> std::int64_t {
  return Json.has_field(Field) ? Json.at(Field).as_number().to_int64() : 0;
}

auto readFlag(const value &Json, const char *Field) -> bool {
  return Json.has_field(Field) && Json.at(Field).as_bool();
}

auto readPlaces(const value &Json) -> std::vector<AcceleratorPlace> {
  std::vector<AcceleratorPlace> Places;
  for (const value &Entry : Json.as_array())
    Places.push_back(
        {Entry.at("worker").as_string(),
         static_cast<std::uint32_t>(readNumber(Entry, "accelerator")),
         static_cast<std::int32_t>(readNumber(Entry, "unit"))});
  return Places;
}

auto readJob(const value &Json) -> JobRow {
  JobRow Job;
  auto &Specification = Job.Specification;
  Specification.Id = readText(Json, "id");
  Specification.Account = readText(Json, "account");
  Specification.Accelerators =
      static_cast<std::uint32_t>(readNumber(Json, "accelerators"));
  Specification.Priority =
      static_cast<JobPriority>(readNumber(Json, "priority"));
  Specification.Adjacent = readFlag(Json, "adjacent");
  Specification.DeclaredRunTime =
      Milliseconds(readNumber(Json, "declared_run_ms"));
  Job.Key = readText(Json, "key");
  Job.State = static_cast<JobRowState>(readNumber(Json, "state"));
  Job.Reason = readText(Json, "reason");
  Job.Detail = readText(Json, "detail");
  Job.Remedy = readText(Json, "remedy");
  if (Json.has_field("placement"))
    Job.Placement = readPlaces(Json.at("placement"));
  Job.Attempt = static_cast<std::uint32_t>(readNumber(Json, "attempt"));
  Job.Epoch = static_cast<std::uint64_t>(readNumber(Json, "epoch"));
  Job.CancelRequested = readFlag(Json, "cancel_requested");
  if (Json.has_field("failed_workers"))
    for (const value &Name : Json.at("failed_workers").as_array())
      Job.FailedWorkers.push_back(Name.as_string());
  Job.Failures = static_cast<std::uint32_t>(readNumber(Json, "failures"));
  Job.SubmittedMs = readNumber(Json, "submitted_ms");
  Job.StartedMs = readNumber(Json, "started_ms");
  Job.Payload = fromBase64(readText(Json, "payload"));
  Job.PayloadKey = readText(Json, "payload_key");
  return Job;
}

auto malformedRowError(const std::string &Place, const std::string &Cause)
    -> Error {
  return Error::make(ErrorKind::InvalidArgument, Place, Cause,
                     "correct or remove the row");
}

} // namespace

auto serializeJobRow(const JobRow &Job) -> std::string {
  value Json = value::object();
  Json["id"] = value(Job.Specification.Id);
  Json["account"] = value(Job.Specification.Account);
  Json["accelerators"] = value(Job.Specification.Accelerators);
  Json["priority"] = value(static_cast<int>(Job.Specification.Priority));
  Json["adjacent"] = value(Job.Specification.Adjacent);
  Json["declared_run_ms"] = value(
      static_cast<std::int64_t>(Job.Specification.DeclaredRunTime.count()));
  Json["key"] = value(Job.Key);
  Json["state"] = value(static_cast<int>(Job.State));
  Json["reason"] = value(Job.Reason);
  Json["detail"] = value(Job.Detail);
  Json["remedy"] = value(Job.Remedy);
  std::vector<value> Places;
  for (const auto &Place : Job.Placement) {
    value Entry = value::object();
    Entry["worker"] = value(Place.Worker);
    Entry["accelerator"] = value(Place.Accelerator);
    Entry["unit"] = value(Place.GuaranteedShapeIndex);
    Places.push_back(std::move(Entry));
  }
  Json["placement"] = value::array(std::move(Places));
  Json["attempt"] = value(Job.Attempt);
  Json["epoch"] = value(Job.Epoch);
  Json["cancel_requested"] = value(Job.CancelRequested);
  std::vector<value> Failed;
  for (const auto &Name : Job.FailedWorkers)
    Failed.emplace_back(Name);
  Json["failed_workers"] = value::array(std::move(Failed));
  Json["failures"] = value(Job.Failures);
  Json["submitted_ms"] = value(Job.SubmittedMs);
  Json["started_ms"] = value(Job.StartedMs);
  if (!Job.Payload.empty())
    Json["payload"] = value(toBase64(Job.Payload));
  if (!Job.PayloadKey.empty())
    Json["payload_key"] = value(Job.PayloadKey);
  return Json.serialize();
}

auto parseJobRow(const TableRow &Row) -> Result<JobRow> {
  try {
    JobRow Job = readJob(value::parse(Row.Value));
    Job.Version = Row.Version;
    if (Job.Specification.Id != Row.Key || Job.State > JobRowState::Rejected)
      return malformedRowError(
          "jobs/" + Row.Key,
          "the id does not match the key of the row, or the state is unknown");
    return Job;
  } catch (const std::exception &Failure) {
    return malformedRowError("jobs/" + Row.Key, Failure.what());
  }
}

auto serializeWorkers(const std::vector<WorkerDescription> &Workers)
    -> std::string {
  std::vector<value> Entries;
  for (const auto &Worker : Workers) {
    value Entry = value::object();
    Entry["name"] = value(Worker.Name);
    Entry["zone"] = value(Worker.AvailabilityZone);
    Entry["rack"] = value(Worker.Rack);
    Entry["accelerators"] = value(Worker.Accelerators);
    Entries.push_back(std::move(Entry));
  }
  value Json = value::object();
  Json["workers"] = value::array(std::move(Entries));
  return Json.serialize();
}

auto parseWorkers(const std::string &Text)
    -> Result<std::vector<WorkerDescription>> {
  try {
    std::vector<WorkerDescription> Workers;
    const value Json = value::parse(Text);
    for (const value &Entry : Json.at("workers").as_array())
      Workers.push_back(
          {readText(Entry, "name"), "", readText(Entry, "zone"),
           readText(Entry, "rack"),
           static_cast<std::uint32_t>(readNumber(Entry, "accelerators"))});
    return Workers;
  } catch (const std::exception &Failure) {
    return malformedRowError("topology/workers", Failure.what());
  }
}

} // namespace jayramp
