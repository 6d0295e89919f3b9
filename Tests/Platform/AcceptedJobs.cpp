#include "AcceptedJobs.h"

#include "standins/Http.h"
#include "standins/Record.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <thread>

namespace jayramp::platform_test {

namespace {

constexpr std::int64_t CallTimeoutMs = 3000;
constexpr std::chrono::milliseconds RetryDelay{200};
constexpr unsigned MaxAttempts = 20;
/// bounds.visible_ms: until then, a host may not know the job yet.
constexpr std::int64_t VisibleMs = 3000;

auto call(const std::string &Caller, const std::string &Method,
          const JobPlan &Plan, const std::string &Body)
    -> std::optional<review::HttpResponse> {
  const std::string Prefix = Plan.IsUrgent ? "/urgent/" : "/jobs/";
  return review::callHttp(
      Caller,
      {Method, Prefix + Plan.Id, "jobs.example", "key-of-tenant-a", Body},
      CallTimeoutMs);
}

/// Without one of these answers, a client sends its request again.
auto isFinal(unsigned Status) -> bool {
  return Status != 0 && Status != 502 && Status != 504;
}

} // namespace

auto AcceptedJobs::submit(const JobPlan &Plan,
                          const std::vector<std::string> &Callers,
                          std::size_t First) -> bool {
  const auto Body = Plan.body();
  for (unsigned Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const auto &Caller = Callers[(First + Attempt) % Callers.size()];
    const auto Answer = call(Caller, "POST", Plan, Body);
    const auto Status = Answer ? Answer->Status : 0;
    Output.write("POST " + Plan.Id + " at " + Caller + " -> " +
                 std::to_string(Status) + " " + Body);
    if (Status == 200) {
      std::lock_guard Lock(Mutex);
      Jobs.push_back({Plan, Output.elapsedMs(), Caller});
      return true;
    }
    if (isFinal(Status))
      return false;
    std::this_thread::sleep_for(RetryDelay);
  }
  return false;
}

auto AcceptedJobs::stateOf(const AcceptedJob &Job, const std::string &Caller)
    -> std::string {
  const auto AskedAtMs = Output.elapsedMs();
  const auto Answer = call(Caller, "GET", Job.Plan, "");
  const auto Status = Answer ? Answer->Status : 0;
  std::string State;
  if (Status == 200)
    State = nlohmann::json::parse(Answer->Body, nullptr, false)
                .value("state", std::string());
  const bool IsDenied =
      Status == 410 && AskedAtMs - Job.AcceptedAtMs > VisibleMs;
  if (Status == 200 && State != "failed" && State != "cancelled")
    return State;
  const auto Line = "GET " + Job.Plan.Id + " at " + Caller + " -> " +
                    std::to_string(Status) + " " + State;
  Output.write(Line);
  if (IsDenied || Status == 200) {
    std::lock_guard Lock(Mutex);
    Contradictions.push_back(std::to_string(AskedAtMs) + " ms  " + Line);
  }
  return State;
}

auto AcceptedJobs::all() const -> std::vector<AcceptedJob> {
  std::lock_guard Lock(Mutex);
  return Jobs;
}

auto AcceptedJobs::contradictions() const -> std::vector<std::string> {
  std::lock_guard Lock(Mutex);
  return Contradictions;
}

} // namespace jayramp::platform_test
