#include "Scenarios.h"

namespace review {

namespace {

constexpr unsigned Racks = 4;
constexpr unsigned WorkersPerRack = 2;
/// The time in which the owner reads the list of workers.
constexpr std::int64_t SettleMs = 3000;
/// bounds.finish_s, counted from the end of the traffic, which is the answer to
/// the only job.
constexpr std::int64_t FinishMs = 14000;
/// Time for which the rule looks at a job then.
constexpr std::int64_t WatchMs = 3000;
constexpr std::int64_t StateInterval = 1000;
constexpr const char *JobId = "00aa11bb22cc33dd";

/// Three tasks, each on a worker of its own, of which a rack has two.
auto jobBody(bool SameRack) -> std::string {
  return std::string(R"({"spec":"work-ms=1000 gang=3","steps":[{"count":3,)") +
         R"("cpu":2000,"mem-mb":1024,"gpu":1,"estimated-ms":1000,)" +
         R"("gang":true,"anti-affinity":1)" +
         (SameRack ? R"(,"same-rack":true)" : "") + "}]}";
}

} // namespace

auto runWideRackGang(Cluster &Stage, const std::string &SettingsPath,
                     bool Trouble) -> Verdict {
  Stage.publishConfiguration();
  for (unsigned Rack = 1; Rack <= Racks; ++Rack)
    Stage.addWorkers("r" + std::to_string(Rack), WorkersPerRack, 1.0);
  Stage.writeSettings(SettingsPath);
  if (!Stage.waitUntilReady(SettleMs))
    return Verdict::CouldNotRun;
  if (Stage.submit(JobId, jobBody(Trouble)) != 200)
    return Verdict::CouldNotRun;
  const auto Until = Stage.record().elapsedMs() + FinishMs + WatchMs;
  std::string State;
  while (Stage.record().elapsedMs() < Until) {
    State = Stage.stateOf(JobId);
    sleepMs(StateInterval);
  }
  if (State.empty())
    return Verdict::CouldNotRun;
  if (State != "completed" && Stage.history().entries().empty()) {
    Stage.record().write("LOST is broken: no task of the accepted job has run "
                         "for 17 s on 8 idle workers");
    return Verdict::Broken;
  }
  Stage.record().write("LOST held");
  return Verdict::Held;
}

} // namespace review
