#include "Platform/HttpWorkerClient.h"

#include "Platform/HttpAddress.h"
#include "Platform/HttpCall.h"
#include "Platform/HttpChannel.h"
#include "Platform/HttpErrors.h"
#include "Platform/RequestAttempt.h"
#include "Platform/TaskCall.h"

#include <cpprest/json.h>

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <utility>

namespace jayramp {

namespace {

using web::json::value;

constexpr unsigned Ok = 200;
constexpr unsigned Conflict = 409;
constexpr unsigned InternalError = 500;
constexpr unsigned ServiceUnavailable = 503;

/// Converts the outcome of an HTTP call to that of an attempt.
class AttemptOutcomeVisitor {
public:
  auto operator()(HttpResponseReceived &Response) const -> AttemptOutcome {
    if (Response.Status == Ok)
      return AttemptSucceeded{std::move(Response.Body)};
    if (Response.Status == InternalError)
      return AttemptFailed{std::move(Response.Body)};
    if (Response.Status == ServiceUnavailable && !Response.Refused.empty())
      return AttemptRefused{std::move(Response.Refused)};
    // Without the Jayramp-Refused header the worker may have started the
    // request.
    return AttemptInterrupted{
        "the worker answered with unexpected HTTP status " +
        std::to_string(Response.Status)};
  }

  auto operator()(HttpNotSent &Outcome) const -> AttemptOutcome {
    return AttemptNotSent{std::move(Outcome.Detail)};
  }

  auto operator()(HttpInterrupted &Outcome) const -> AttemptOutcome {
    return AttemptInterrupted{std::move(Outcome.Detail),
                              Outcome.ResponseTruncated};
  }
};

/// Returns true if \p Value has no control characters, which could end the
/// header early or add another one.
auto isHeaderSafe(const std::string &Value) -> bool {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7f;
  return std::none_of(Value.begin(), Value.end(), [](unsigned char Character) {
    return Character < FirstPrintable || Character == Delete;
  });
}

auto verbName(TaskVerb Verb) -> std::string {
  switch (Verb) {
  case TaskVerb::Prepare:
    return "prepare";
  case TaskVerb::Start:
    return "start";
  case TaskVerb::Renew:
    return "renew";
  case TaskVerb::Checkpoint:
    return "checkpoint";
  case TaskVerb::Throttle:
    return "throttle";
  case TaskVerb::Stop:
    return "stop";
  }
  return "renew";
}

auto toJson(const TaskCall &Call) -> value {
  auto Json = value::object();
  Json["epoch"] = value(Call.Epoch);
  auto Tasks = value::array(Call.Tasks.size());
  for (std::size_t Index = 0; Index < Call.Tasks.size(); ++Index) {
    const TaskOrder &Order = Call.Tasks[Index];
    value &Entry = Tasks[Index];
    Entry["task"] = value(Order.Task);
    Entry["job"] = value(Order.Job);
    auto Accelerators = value::array(Order.Accelerators.size());
    for (std::size_t Position = 0; Position < Order.Accelerators.size();
         ++Position)
      Accelerators[Position] = value(Order.Accelerators[Position]);
    Entry["accelerators"] = Accelerators;
    Entry["lease_ms"] = value(static_cast<std::int64_t>(Order.Lease.count()));
  }
  Json["tasks"] = Tasks;
  return Json;
}

auto taskFromJson(const value &Json) -> TaskStatus {
  TaskStatus Task;
  Task.Task = Json.at("task").as_string();
  Task.State = Json.at("state").as_string();
  if (Json.has_string_field("job"))
    Task.Job = Json.at("job").as_string();
  if (Json.has_number_field("usage"))
    Task.Usage = Json.at("usage").as_double();
  return Task;
}

auto tasksFromJson(const value &Json) -> std::vector<TaskStatus> {
  std::vector<TaskStatus> Tasks;
  for (const value &Entry : Json.at("tasks").as_array())
    Tasks.push_back(taskFromJson(Entry));
  return Tasks;
}

auto statusFromJson(const value &Json) -> WorkerStatus {
  WorkerStatus Status;
  Status.Name = Json.at("name").as_string();
  Status.Leaving = Json.at("state").as_string() == "leaving";
  Status.Epoch = Json.at("epoch").as_number().to_uint64();
  Status.Slots = Json.at("slots").as_number().to_uint32();
  Status.SlotsUsed = Json.at("slots_used").as_number().to_uint32();
  Status.Accelerators = Json.at("accelerators").as_number().to_uint32();
  Status.Tasks = tasksFromJson(Json);
  return Status;
}

auto fencedError(const std::string &Operation, std::uint64_t Epoch) -> Error {
  return Error::make(
      ErrorKind::Fenced, Operation,
      "epoch " + std::to_string(Epoch) +
          " is older than the newest epoch that the worker has seen",
      "adopt the current membership view before the next call "
      "to this worker");
}

} // namespace

auto HttpWorkerClient::create(Metrics &Registry)
    -> Result<std::unique_ptr<HttpWorkerClient>> {
  BOOST_OUTCOME_TRY(Channel, HttpChannel::create("worker", Registry));
  return std::unique_ptr<HttpWorkerClient>(
      new HttpWorkerClient(std::move(Channel)));
}

HttpWorkerClient::HttpWorkerClient(std::unique_ptr<HttpChannel> Channel)
    : Channel(std::move(Channel)) {}

HttpWorkerClient::~HttpWorkerClient() = default;

auto HttpWorkerClient::execute(RequestAttempt Attempt, AttemptCallback Done)
    -> void {
  if (!isHeaderSafe(Attempt.Account) || !isHeaderSafe(Attempt.Key))
    return Done(
        AttemptNotSent{"the account or the key of the request contains a "
                       "control character; remove it"});
  if (auto Checked = checkHttpAddress("worker address", Attempt.WorkerAddress);
      !Checked)
    return Done(AttemptNotSent{Checked.error().message()});
  HttpCall Call{
      .Address = std::move(Attempt.WorkerAddress),
      .Method = "POST",
      .Path = "/v1/requests",
      .Headers = {{"Content-Type", "application/octet-stream"},
                  {"Jayramp-Account", std::move(Attempt.Account)},
                  {"Jayramp-Key", std::move(Attempt.Key)},
                  {"Jayramp-Attempt", std::to_string(Attempt.AttemptNumber)},
                  {"Jayramp-Epoch", std::to_string(Attempt.Epoch)},
                  {"Jayramp-Deadline-Ms",
                   std::to_string(Attempt.Timeout.count())}},
      .Body = std::move(Attempt.Payload),
      .Timeout = Attempt.Timeout,
      .FreshConnection = !Attempt.Idempotent};
  Channel->send(std::move(Call), [Done = std::move(Done)](HttpOutcome Outcome) {
    Done(std::visit(AttemptOutcomeVisitor(), Outcome));
  });
}

auto HttpWorkerClient::status(const std::string &WorkerAddress,
                              std::uint64_t Epoch, Milliseconds Timeout)
    -> Result<WorkerStatus> {
  BOOST_OUTCOME_TRY(checkHttpAddress("worker address", WorkerAddress));
  HttpOutcome Outcome =
      Channel->call({.Address = WorkerAddress,
                     .Method = "GET",
                     .Path = "/v1/status",
                     .Headers = {{"Jayramp-Epoch", std::to_string(Epoch)}},
                     .Timeout = Timeout});
  std::string Operation = "status of worker " + WorkerAddress;
  const auto *Response = std::get_if<HttpResponseReceived>(&Outcome);
  if (Response && Response->Status == Conflict)
    return fencedError(Operation, Epoch);
  // The worker records the epoch of the call, so the call has an effect.
  if (!Response || Response->Status != Ok)
    return httpCallError(Operation, Outcome, true);
  try {
    return statusFromJson(value::parse(Response->Body));
  } catch (const std::exception &Failure) {
    return malformedResponseError(Operation, Failure.what(), true);
  }
}

auto HttpWorkerClient::control(const std::string &WorkerAddress,
                               const TaskCall &Call, Milliseconds Timeout)
    -> Result<std::vector<TaskStatus>> {
  BOOST_OUTCOME_TRY(checkHttpAddress("worker address", WorkerAddress));
  std::string Verb = verbName(Call.Verb);
  HttpOutcome Outcome =
      Channel->call({.Address = WorkerAddress,
                     .Method = "POST",
                     .Path = "/v1/tasks/" + Verb,
                     .Headers = {{"Content-Type", "application/json"}},
                     .Body = toJson(Call).serialize(),
                     .Timeout = Timeout});
  std::string Operation = Verb + " of tasks on worker " + WorkerAddress;
  const auto *Response = std::get_if<HttpResponseReceived>(&Outcome);
  if (Response && Response->Status == Conflict)
    return fencedError(Operation, Call.Epoch);
  if (!Response || Response->Status != Ok)
    return httpCallError(Operation, Outcome, true);
  try {
    auto Tasks = tasksFromJson(value::parse(Response->Body));
    if (Tasks.size() != Call.Tasks.size())
      throw std::runtime_error(std::to_string(Tasks.size()) +
                               " tasks in the response to a call for " +
                               std::to_string(Call.Tasks.size()));
    return Tasks;
  } catch (const std::exception &Failure) {
    return malformedResponseError(Operation, Failure.what(), true);
  }
}

} // namespace jayramp
