#include "WorkerStandIn.h"

#include "StandInProcess.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <memory>
#include <optional>
#include <utility>

namespace jayramp {

using web::json::value;

namespace {

// Owners poll the status each second and must see that a task has ended.
constexpr std::int64_t EndedTaskRetentionMs = 60'000;

// On the platform, usage reports follow the actual usage with a delay.
constexpr std::int64_t UsageReportDelayMs = 2'000;

/// What the payload of a request tells the worker to do.
struct RequestedWork {
  std::int64_t RunTimeMs = 0;
  bool Fail = false;
  std::string Answer;
};

/// Parses a JSON payload that has the field `run_ms`; any other payload is
/// echoed at once.
auto parseWork(const std::string &Payload) -> RequestedWork {
  std::error_code Failure;
  if (!Payload.empty() && Payload.front() == '{') {
    auto Json = value::parse(Payload, Failure);
    if (!Failure && Json.has_number_field("run_ms")) {
      RequestedWork Requested;
      Requested.RunTimeMs = Json.at("run_ms").as_number().to_int64();
      Requested.Fail =
          Json.has_boolean_field("fail") && Json.at("fail").as_bool();
      if (Json.has_number_field("answer_bytes"))
        Requested.Answer.assign(Json.at("answer_bytes").as_number().to_uint64(),
                                'a');
      return Requested;
    }
  }
  return {0, false, Payload};
}

auto headerValue(const StandInRequest &Request, const char *Name)
    -> std::string {
  auto Found = Request.Headers.find(Name);
  return Found == Request.Headers.end() ? std::string() : Found->second;
}

auto numberHeader(const StandInRequest &Request, const char *Name)
    -> std::optional<std::uint64_t> {
  std::string Text = headerValue(Request, Name);
  if (Text.empty())
    return std::nullopt;
  return std::stoull(Text);
}

auto refusedAnswer(const std::string &Reason) -> StandInAnswer {
  return {503, "", {{"Jayramp-Refused", Reason}}};
}

auto fencedAnswer(std::uint64_t Epoch) -> StandInAnswer {
  auto Json = value::object();
  Json["epoch"] = value(Epoch);
  return jsonAnswer(Json, 409);
}

auto hasEnded(const std::string &State) -> bool {
  return State == "finished" || State == "failed" || State == "stopped";
}

/// Returns the number after "-run" at the end of the job id \p Job: the run
/// time in milliseconds. Returns nullopt if there is none.
auto runTimeSuffix(const std::string &Job) -> std::optional<std::int64_t> {
  static const std::string Marker = "-run";
  auto Found = Job.rfind(Marker);
  if (Found == std::string::npos)
    return std::nullopt;
  std::string Digits = Job.substr(Found + Marker.size());
  if (Digits.empty() ||
      Digits.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return std::stoll(Digits);
}

auto zeroRefusalCounters() -> std::map<std::string, std::uint64_t> {
  return {{"busy", 0}, {"leaving", 0}, {"fenced", 0}, {"connections", 0}};
}

auto acceleratorsToJson(const std::vector<std::uint32_t> &Accelerators)
    -> value {
  std::vector<value> Entries(Accelerators.begin(), Accelerators.end());
  return value::array(std::move(Entries));
}

} // namespace

WorkerStandIn::WorkerStandIn(boost::asio::io_context &Context, Settings Options)
    : Context(Context), Options(std::move(Options)),
      RefusalCounts(zeroRefusalCounters()),
      Server(
          Context,
          {.Endpoint = this->Options.Endpoint,
           .ConnectionLimit = this->Options.Connections,
           .Seed = this->Options.Seed},
          [this](const StandInRequest &Request, FaultyHttpServer::Reply Reply) {
            handleRequest(Request, std::move(Reply));
          },
          [this](const StandInRequest &Request,
                 const FaultyHttpServer::Reply &Reply) {
            Reply(handleControl(Request));
          }) {}

auto WorkerStandIn::handleRequest(const StandInRequest &Request,
                                  FaultyHttpServer::Reply Reply) -> void {
  static const std::string TasksPath = "/v1/tasks/";
  try {
    if (Request.OverConnectionLimit) {
      ++RefusalCounts["connections"];
      return Reply(refusedAnswer("busy"));
    }
    if (Request.Path == "/v1/requests")
      return runRequest(Request, std::move(Reply));
    if (Request.Path == "/v1/status")
      return Reply(handleStatus(Request));
    if (Request.Path.compare(0, TasksPath.size(), TasksPath) == 0)
      return Reply(handleTaskCommands(Request.Path.substr(TasksPath.size()),
                                      Request.Body));
  } catch (const std::exception &Failure) {
    return Reply({400, Failure.what(), {}});
  }
  Reply({404, "unknown path " + Request.Path, {}});
}

auto WorkerStandIn::acceptEpoch(std::uint64_t CallerEpoch) -> bool {
  if (Guards && CallerEpoch < Epoch)
    return false;
  Epoch = std::max(Epoch, CallerEpoch);
  return true;
}

auto WorkerStandIn::refusalReason(const StandInRequest &Request)
    -> std::string {
  auto CallerEpoch = numberHeader(Request, "jayramp-epoch");
  if (CallerEpoch && !acceptEpoch(*CallerEpoch))
    return "fenced";
  if (Leaving)
    return "leaving";
  if (SlotsUsed >= Options.Slots)
    return "busy";
  return {};
}

auto WorkerStandIn::runRequest(const StandInRequest &Request,
                               FaultyHttpServer::Reply Reply) -> void {
  std::string Reason = refusalReason(Request);
  if (!Reason.empty()) {
    ++RefusalCounts[Reason];
    return Reply(refusedAnswer(Reason));
  }
  ++SlotsUsed;
  PeakSlotsUsed = std::max(PeakSlotsUsed, SlotsUsed);
  std::uint64_t ExecutionId = NextExecutionId++;
  Executions[ExecutionId] = {
      headerValue(Request, "jayramp-account"),
      headerValue(Request, "jayramp-key"),
      static_cast<std::uint32_t>(
          numberHeader(Request, "jayramp-attempt").value_or(0)),
      unixMilliseconds(), 0};
  RequestedWork Requested = parseWork(Request.Body);
  runAfter(Requested.RunTimeMs, [this, ExecutionId, Requested,
                                 Reply = std::move(Reply)] {
    --SlotsUsed;
    if (auto Found = Executions.find(ExecutionId); Found != Executions.end())
      Found->second.End = unixMilliseconds();
    if (FailEverything || Requested.Fail)
      return Reply({500, "the request failed", {}});
    Reply({200,
           Requested.Answer,
           {{"Content-Type", "application/octet-stream"}}});
  });
}

auto WorkerStandIn::handleStatus(const StandInRequest &Request)
    -> StandInAnswer {
  auto CallerEpoch = numberHeader(Request, "jayramp-epoch");
  if (CallerEpoch && !acceptEpoch(*CallerEpoch)) {
    ++RefusalCounts["fenced"];
    return fencedAnswer(Epoch);
  }
  auto Json = value::object();
  Json["name"] = value(Options.Name);
  Json["state"] = value(Leaving ? "leaving" : "live");
  Json["epoch"] = value(Epoch);
  Json["slots"] = value(Options.Slots);
  Json["slots_used"] = value(SlotsUsed);
  Json["accelerators"] = value(Options.Accelerators);
  std::int64_t Now = unixMilliseconds();
  std::vector<value> ReportedTasks;
  for (const auto &[TaskId, Recorded] : Tasks) {
    if (Recorded.End != 0 && Now - Recorded.End > EndedTaskRetentionMs)
      continue;
    bool InUse = Recorded.Start != 0 && Recorded.End == 0 &&
                 Now - Recorded.Start >= UsageReportDelayMs &&
                 Recorded.State != "throttled";
    auto Entry = value::object();
    Entry["task"] = value(Recorded.Name);
    Entry["job"] = value(Recorded.Job);
    Entry["state"] = value(Recorded.State);
    Entry["usage"] = value(InUse ? 0.9 : 0.0);
    ReportedTasks.push_back(std::move(Entry));
  }
  Json["tasks"] = value::array(std::move(ReportedTasks));
  return jsonAnswer(Json);
}

auto WorkerStandIn::handleTaskCommands(const std::string &Verb,
                                       const std::string &Body)
    -> StandInAnswer {
  auto Json = value::parse(Body);
  if (!acceptEpoch(Json.at("epoch").as_number().to_uint64())) {
    ++RefusalCounts["fenced"];
    return fencedAnswer(Epoch);
  }
  std::vector<value> States;
  for (const value &Command : Json.at("tasks").as_array()) {
    auto Entry = value::object();
    Entry["task"] = Command.at("task");
    Entry["state"] = value(applyTaskVerb(Verb, Command));
    States.push_back(std::move(Entry));
  }
  auto Answer = value::object();
  Answer["tasks"] = value::array(std::move(States));
  return jsonAnswer(Answer);
}

auto WorkerStandIn::applyTaskVerb(const std::string &Verb, const value &Command)
    -> std::string {
  const auto &Name = Command.at("task").as_string();
  Task *Active = findActiveTask(Name);
  if (Verb == "prepare")
    return Active ? Active->State : prepareTask(Command);
  if (!Active) {
    Task *Ended = findNewestTask(Name);
    if (Ended)
      return Ended->State;
    return Verb == "start" ? "failed" : "stopped";
  }
  if (Verb == "start") {
    startTask(*Active, Command);
  } else if (Verb == "renew") {
    extendLease(*Active, Command);
  } else if (Verb == "checkpoint") {
    if (Active->State == "running" && !IgnoreCheckpoint)
      Active->State = "checkpointed";
  } else if (Verb == "throttle") {
    if (Active->Start != 0)
      Active->State = "throttled";
  } else if (Verb == "stop") {
    endTask(*Active, "stopped", "stopped");
  } else {
    throw std::runtime_error("unknown task verb " + Verb);
  }
  return Active->State;
}

auto WorkerStandIn::prepareTask(const value &Command) -> std::string {
  Task Prepared;
  Prepared.Name = Command.at("task").as_string();
  Prepared.Job = Command.at("job").as_string();
  for (const value &Accelerator : Command.at("accelerators").as_array())
    Prepared.Accelerators.push_back(Accelerator.as_number().to_uint32());
  bool AllFree =
      !Leaving &&
      std::all_of(Prepared.Accelerators.begin(), Prepared.Accelerators.end(),
                  [this](std::uint32_t Accelerator) {
                    return Accelerator < Options.Accelerators &&
                           !AcceleratorsUsed.contains(Accelerator);
                  });
  if (!AllFree)
    return "failed";
  AcceleratorsUsed.insert(Prepared.Accelerators.begin(),
                          Prepared.Accelerators.end());
  Prepared.State = "prepared";
  Prepared.RunTimeMs = requestedRunTime(Command);
  Task &Added = Tasks[NextTaskId++] = std::move(Prepared);
  extendLease(Added, Command);
  return Added.State;
}

auto WorkerStandIn::startTask(Task &Target, const value &Command) -> void {
  extendLease(Target, Command);
  if (Target.State != "prepared")
    return;
  if (Command.has_number_field("run_ms"))
    Target.RunTimeMs = requestedRunTime(Command);
  Target.State = "running";
  Target.Start = unixMilliseconds();
  if (FailEverything)
    return endTask(Target, "failed", "failed");
  if (Target.RunTimeMs > 0)
    runAfter(Target.RunTimeMs, [this, &Target] {
      if (Target.End == 0)
        endTask(Target, "finished", "finished");
    });
}

auto WorkerStandIn::extendLease(Task &Target, const value &Command) -> void {
  if (!Command.has_number_field("lease_ms"))
    return;
  std::int64_t LeaseMs = Command.at("lease_ms").as_number().to_int64();
  std::uint64_t LeaseGeneration = ++Target.LeaseGeneration;
  Target.LeaseEnd = unixMilliseconds() + LeaseMs;
  runAfter(LeaseMs, [this, &Target, LeaseGeneration] {
    if (Target.End == 0 && Target.LeaseGeneration == LeaseGeneration)
      endTask(Target, "stopped", "lease");
  });
}

auto WorkerStandIn::requestedRunTime(const value &Command) const
    -> std::int64_t {
  if (Command.has_number_field("run_ms"))
    return Command.at("run_ms").as_number().to_int64();
  return runTimeSuffix(Command.at("job").as_string())
      .value_or(DefaultTaskRunTimeMs);
}

auto WorkerStandIn::endTask(Task &Target, const std::string &State,
                            const std::string &Reason) -> void {
  Target.State = State;
  Target.End = unixMilliseconds();
  Target.EndReason = Reason;
  for (std::uint32_t Accelerator : Target.Accelerators)
    AcceleratorsUsed.erase(Accelerator);
}

auto WorkerStandIn::findNewestTask(const std::string &Name) -> Task * {
  auto Found = std::find_if(Tasks.rbegin(), Tasks.rend(), [&](auto &Entry) {
    return Entry.second.Name == Name;
  });
  return Found == Tasks.rend() ? nullptr : &Found->second;
}

auto WorkerStandIn::findActiveTask(const std::string &Name) -> Task * {
  Task *Newest = findNewestTask(Name);
  return Newest && !hasEnded(Newest->State) ? Newest : nullptr;
}

auto WorkerStandIn::runAfter(std::int64_t DelayMs, std::function<void()> Action)
    -> void {
  if (DelayMs <= 0)
    return Action();
  auto Timer = std::make_shared<boost::asio::steady_timer>(
      Context, std::chrono::milliseconds(DelayMs));
  Timer->async_wait([Timer, Action = std::move(Action)](
                        boost::system::error_code) { Action(); });
}

auto WorkerStandIn::handleControl(const StandInRequest &Request)
    -> StandInAnswer {
  if (Request.Path == "/record")
    return jsonAnswer(recordJson());
  return applyControl(Request.Body,
                      [this](const std::string &Name, const value &Value) {
                        return setField(Name, Value);
                      });
}

auto WorkerStandIn::setField(const std::string &Name, const value &Value)
    -> bool {
  if (Name == "fail_everything")
    FailEverything = Value.as_bool();
  else if (Name == "leaving")
    Leaving = Value.as_bool();
  else if (Name == "ignore_checkpoint")
    IgnoreCheckpoint = Value.as_bool();
  else if (Name == "guards")
    Guards = Value.as_bool();
  else if (Name == "task_run_ms")
    DefaultTaskRunTimeMs = Value.as_number().to_int64();
  else if (Name == "reset_record")
    resetRecord();
  else
    return Server.setFault(Name, Value);
  return true;
}

auto WorkerStandIn::resetRecord() -> void {
  std::erase_if(Executions,
                [](const auto &Entry) { return Entry.second.End != 0; });
  PeakSlotsUsed = SlotsUsed;
  RefusalCounts = zeroRefusalCounters();
  Server.resetRecord();
}

auto WorkerStandIn::recordJson() const -> value {
  std::vector<value> ExecutionEntries;
  for (const auto &[ExecutionId, Recorded] : Executions) {
    auto Entry = value::object();
    Entry["account"] = value(Recorded.Account);
    Entry["key"] = value(Recorded.Key);
    Entry["attempt"] = value(Recorded.Attempt);
    Entry["start_ms"] = value(Recorded.Start);
    Entry["end_ms"] = value(Recorded.End);
    ExecutionEntries.push_back(std::move(Entry));
  }
  std::vector<value> TaskEntries;
  for (const auto &[TaskId, Recorded] : Tasks) {
    auto Entry = value::object();
    Entry["task"] = value(Recorded.Name);
    Entry["job"] = value(Recorded.Job);
    Entry["accelerators"] = acceleratorsToJson(Recorded.Accelerators);
    Entry["start_ms"] = value(Recorded.Start);
    Entry["end_ms"] = value(Recorded.End);
    Entry["end_reason"] = value(Recorded.EndReason);
    TaskEntries.push_back(std::move(Entry));
  }
  auto RefusalsJson = value::object();
  for (const auto &[Reason, Count] : RefusalCounts)
    RefusalsJson[Reason] = value(Count);
  auto Json = value::object();
  Json["name"] = value(Options.Name);
  Json["executions"] = value::array(std::move(ExecutionEntries));
  Json["tasks"] = value::array(std::move(TaskEntries));
  Json["refused"] = RefusalsJson;
  Json["most_slots_used"] = value(PeakSlotsUsed);
  Json["most_connections"] =
      value(static_cast<std::uint64_t>(Server.peakConnections()));
  Json["connections"] =
      value(static_cast<std::uint64_t>(Server.totalConnections()));
  Json["lost_answers"] = value(Server.lostAnswers());
  return Json;
}

} // namespace jayramp
