#include "Jobs/JobRowMapping.h"

#include "Platform/TableRow.h"

#include <cpprest/json.h>

#include <utility>

namespace jayramp {

using web::json::value;

namespace {

auto bytesToText(const std::string &Bytes) -> std::string {
  return utility::conversions::to_base64(
      std::vector<unsigned char>(Bytes.begin(), Bytes.end()));
}

auto textToBytes(const std::string &Text) -> std::string {
  auto Bytes = utility::conversions::from_base64(Text);
  return {Bytes.begin(), Bytes.end()};
}

auto textOf(const value &Json, const char *Field) -> std::string {
  return Json.has_field(Field) ? Json.at(Field).as_string() : std::string();
}

auto numberOf(const value &Json, const char *Field) -> std::int64_t {
  return Json.has_field(Field) ? Json.at(Field).as_number().to_int64() : 0;
}

auto flagOf(const value &Json, const char *Field) -> bool {
  return Json.has_field(Field) && Json.at(Field).as_bool();
}

auto readPlaces(const value &Json) -> std::vector<AcceleratorPlace> {
  std::vector<AcceleratorPlace> Places;
  for (const value &Entry : Json.as_array())
    Places.push_back(
        {Entry.at("worker").as_string(),
         static_cast<std::uint32_t>(numberOf(Entry, "accelerator")),
         static_cast<std::int32_t>(numberOf(Entry, "unit"))});
  return Places;
}

auto readJob(const value &Json) -> JobRow {
  JobRow Job;
  auto &Wanted = Job.Specification;
  Wanted.Id = textOf(Json, "id");
  Wanted.Account = textOf(Json, "account");
  Wanted.Accelerators =
      static_cast<std::uint32_t>(numberOf(Json, "accelerators"));
  Wanted.Priority = static_cast<JobPriority>(numberOf(Json, "priority"));
  Wanted.Adjacent = flagOf(Json, "adjacent");
  Wanted.DeclaredRunTime = Milliseconds(numberOf(Json, "declared_run_ms"));
  Job.Key = textOf(Json, "key");
  Job.State = static_cast<JobRowState>(numberOf(Json, "state"));
  Job.Reason = textOf(Json, "reason");
  Job.Detail = textOf(Json, "detail");
  Job.Remedy = textOf(Json, "remedy");
  if (Json.has_field("placement"))
    Job.Placement = readPlaces(Json.at("placement"));
  Job.Attempt = static_cast<std::uint32_t>(numberOf(Json, "attempt"));
  Job.Epoch = static_cast<std::uint64_t>(numberOf(Json, "epoch"));
  Job.CancelRequested = flagOf(Json, "cancel_requested");
  if (Json.has_field("failed_workers"))
    for (const value &Name : Json.at("failed_workers").as_array())
      Job.FailedWorkers.push_back(Name.as_string());
  Job.Failures = static_cast<std::uint32_t>(numberOf(Json, "failures"));
  Job.SubmittedMs = numberOf(Json, "submitted_ms");
  Job.StartedMs = numberOf(Json, "started_ms");
  Job.Payload = textToBytes(textOf(Json, "payload"));
  Job.PayloadKey = textOf(Json, "payload_key");
  return Job;
}

auto unreadable(const std::string &Place, const std::string &Cause) -> Error {
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
    Json["payload"] = value(bytesToText(Job.Payload));
  if (!Job.PayloadKey.empty())
    Json["payload_key"] = value(Job.PayloadKey);
  return Json.serialize();
}

auto parseJobRow(const TableRow &Row) -> Result<JobRow> {
  try {
    JobRow Job = readJob(value::parse(Row.Value));
    Job.Version = Row.Version;
    if (Job.Specification.Id != Row.Key || Job.State > JobRowState::Rejected)
      return unreadable("jobs/" + Row.Key, "has a wrong id or state");
    return Job;
  } catch (const std::exception &Failure) {
    return unreadable("jobs/" + Row.Key, Failure.what());
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
          {textOf(Entry, "name"), "", textOf(Entry, "zone"),
           textOf(Entry, "rack"),
           static_cast<std::uint32_t>(numberOf(Entry, "accelerators"))});
    return Workers;
  } catch (const std::exception &Failure) {
    return unreadable("topology/workers", Failure.what());
  }
}

} // namespace jayramp
