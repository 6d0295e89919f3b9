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
    throw std::runtime_error("cannot read " + Path.string());
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

auto number(const value &Entry, const char *Name) -> std::uint32_t {
  return Entry.at(Name).as_number().to_uint32();
}

auto makeItem(const Workload::Deployment &Owner, const value &Entry,
              std::uint32_t Index) -> Workload::Item {
  Workload::Item Made;
  Made.Deployment = Owner.Name;
  Made.Account = Entry.at("account").as_string();
  Made.Key = Entry.at("caller").as_string() + "-" + std::to_string(Index);
  return Made;
}

auto addRequests(const value &Entry, Workload::Deployment &Target) -> void {
  auto Work = value::object();
  Work["run_ms"] = Entry.at("run_ms");
  Work["answer_bytes"] = Entry.at("answer_bytes");
  if (Entry.has_field("fail"))
    Work["fail"] = Entry.at("fail");
  v1::SubmitRequest Request;
  Request.set_account(Entry.at("account").as_string());
  Request.set_idempotent(Entry.at("idempotent").as_bool());
  v1::WorkClass Class = v1::WORK_CLASS_UNSPECIFIED;
  if (!v1::WorkClass_Parse(Entry.at("work_class").as_string(), &Class))
    throw std::runtime_error("work_class must be SHORT or LONG");
  Request.set_work_class(Class);
  Request.set_deadline_ms(number(Entry, "deadline_ms"));
  Request.set_payload(Work.serialize());
  for (std::uint32_t Index = 0; Index < number(Entry, "count"); ++Index) {
    auto Made = makeItem(Target, Entry, Index);
    Made.AnswerBytes = number(Entry, "answer_bytes");
    Request.set_key(Made.Key);
    Made.Body = renderJson(Request);
    Target.Items.push_back(std::move(Made));
  }
}

auto addJobs(const value &Entry, Workload::Deployment &Target) -> void {
  v1::SubmitJob Job;
  Job.set_account(Entry.at("account").as_string());
  Job.set_accelerators(number(Entry, "accelerators"));
  v1::Priority Priority = v1::PRIORITY_UNSPECIFIED;
  if (!v1::Priority_Parse(Entry.at("priority").as_string(), &Priority))
    throw std::runtime_error("priority must be URGENT, GUARANTEED or SURPLUS");
  Job.set_priority(Priority);
  Job.set_adjacent(Entry.at("adjacent").as_bool());
  for (std::uint32_t Index = 0; Index < number(Entry, "count"); ++Index) {
    auto Made = makeItem(Target, Entry, Index);
    Made.IsJob = true;
    Job.set_key(Made.Key);
    Made.Body = renderJson(Job);
    Target.Items.push_back(std::move(Made));
  }
}

} // namespace

auto Workload::load(const std::string &Path) -> Workload {
  auto Json = value::parse(readFile(Path));
  auto Folder = std::filesystem::path(Path).parent_path();
  Workload Loaded;
  for (const auto &Entry : Json.at("deployments").as_array()) {
    Deployment Added;
    Added.Name = Entry.at("name").as_string();
    Added.Configuration =
        readFile(Folder / Entry.at("configuration").as_string());
    // Jobs first, so that they run while the requests do.
    for (const auto &Jobs : Entry.at("jobs").as_array())
      addJobs(Jobs, Added);
    for (const auto &Requests : Entry.at("requests").as_array())
      addRequests(Requests, Added);
    Loaded.Deployments.push_back(std::move(Added));
  }
  Loaded.CallersAtOnce = number(Json, "callers_at_once");
  Loaded.JobRunMs = number(Json, "job_run_ms");
  Loaded.JobWaitMs = number(Json, "job_wait_ms");
  const auto &Plan = Json.at("latency");
  Loaded.Latency = {number(Plan, "requests_per_second"), number(Plan, "rounds"),
                    number(Plan, "seconds_per_round"),
                    number(Plan, "payload_bytes")};
  return Loaded;
}

} // namespace jayramp
