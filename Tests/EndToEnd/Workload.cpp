#include "EndToEnd/Workload.h"

#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <cpprest/json.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace jayramp {

namespace {

using web::json::value;

auto readFile(const std::filesystem::path &Path) -> std::string {
  std::ifstream File(Path);
  if (!File)
    throw std::runtime_error("cannot open the file " + Path.string());
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

auto readUint32(const value &Entry, const char *Name) -> std::uint32_t {
  return Entry.at(Name).as_number().to_uint32();
}

auto makeItem(const Workload::Deployment &Target, const value &Entry,
              std::uint32_t Index) -> Workload::Item {
  Workload::Item Item;
  Item.Deployment = Target.Name;
  Item.Account = Entry.at("account").as_string();
  Item.Key = Entry.at("caller").as_string() + "-" + std::to_string(Index);
  return Item;
}

auto addRequests(const value &Entry, Workload::Deployment &Target) -> void {
  auto Payload = value::object();
  Payload["run_ms"] = Entry.at("run_ms");
  Payload["answer_bytes"] = Entry.at("answer_bytes");
  if (Entry.has_field("fail"))
    Payload["fail"] = Entry.at("fail");
  v1::SubmitRequest Request;
  Request.set_account(Entry.at("account").as_string());
  Request.set_idempotent(Entry.at("idempotent").as_bool());
  v1::WorkClass Class = v1::WORK_CLASS_UNSPECIFIED;
  if (!v1::WorkClass_Parse(Entry.at("work_class").as_string(), &Class))
    throw std::runtime_error("work_class \"" +
                             Entry.at("work_class").as_string() +
                             "\" must be SHORT or LONG");
  Request.set_work_class(Class);
  Request.set_deadline_ms(readUint32(Entry, "deadline_ms"));
  Request.set_payload(Payload.serialize());
  for (std::uint32_t Index = 0; Index < readUint32(Entry, "count"); ++Index) {
    auto Item = makeItem(Target, Entry, Index);
    Item.AnswerBytes = readUint32(Entry, "answer_bytes");
    Request.set_key(Item.Key);
    Item.Body = renderJson(Request);
    Target.Items.push_back(std::move(Item));
  }
}

auto addJobs(const value &Entry, Workload::Deployment &Target) -> void {
  v1::SubmitJob Job;
  Job.set_account(Entry.at("account").as_string());
  Job.set_accelerators(readUint32(Entry, "accelerators"));
  v1::Priority Priority = v1::PRIORITY_UNSPECIFIED;
  if (!v1::Priority_Parse(Entry.at("priority").as_string(), &Priority))
    throw std::runtime_error("priority \"" + Entry.at("priority").as_string() +
                             "\" must be URGENT, GUARANTEED or SURPLUS");
  Job.set_priority(Priority);
  Job.set_adjacent(Entry.at("adjacent").as_bool());
  for (std::uint32_t Index = 0; Index < readUint32(Entry, "count"); ++Index) {
    auto Item = makeItem(Target, Entry, Index);
    Item.IsJob = true;
    Job.set_key(Item.Key);
    Item.Body = renderJson(Job);
    Target.Items.push_back(std::move(Item));
  }
}

} // namespace

auto Workload::load(const std::string &Path) -> Workload {
  auto Json = value::parse(readFile(Path));
  auto Directory = std::filesystem::path(Path).parent_path();
  Workload Loaded;
  for (const auto &Entry : Json.at("deployments").as_array()) {
    Deployment NewDeployment;
    NewDeployment.Name = Entry.at("name").as_string();
    NewDeployment.Configuration =
        readFile(Directory / Entry.at("configuration").as_string());
    // Jobs are submitted first, so that they run at the same time as the
    // requests.
    for (const auto &Jobs : Entry.at("jobs").as_array())
      addJobs(Jobs, NewDeployment);
    for (const auto &Requests : Entry.at("requests").as_array())
      addRequests(Requests, NewDeployment);
    Loaded.Deployments.push_back(std::move(NewDeployment));
  }
  Loaded.CallersAtOnce = readUint32(Json, "callers_at_once");
  Loaded.JobRunMs = readUint32(Json, "job_run_ms");
  Loaded.JobWaitMs = readUint32(Json, "job_wait_ms");
  const auto &Plan = Json.at("latency");
  Loaded.Latency = {
      readUint32(Plan, "requests_per_second"), readUint32(Plan, "rounds"),
      readUint32(Plan, "seconds_per_round"), readUint32(Plan, "payload_bytes")};
  return Loaded;
}

} // namespace jayramp
