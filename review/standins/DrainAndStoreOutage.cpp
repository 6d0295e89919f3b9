#include "Scenarios.h"

namespace review {

namespace {

/// One draining worker is then a share of 0.0625.
constexpr unsigned WorkerCount = 16;
constexpr std::int64_t SettleMs = 3000;
/// From the start of the task to the report of the drain.
constexpr std::int64_t DrainDelayMs = 3500;
/// The worker goes on longer than the task takes.
constexpr std::int64_t RemainingMs = 16000;
/// Three heartbeat intervals, after which the store drops an entry.
constexpr std::int64_t OutageMs = 4500;
constexpr std::int64_t WatchMs = 6000;
constexpr const char *JobId = "77aa11bb22cc33d1";
constexpr const char *JobBody =
    R"({"spec":"work-ms=12000 gpu=1","steps":[{"count":1,"cpu":2000,"mem-mb":1024,"gpu":1,"estimated-ms":12000}]})";

} // namespace

auto runDrainAndStoreOutage(Cluster &Stage, const std::string &SettingsPath,
                            bool Trouble) -> Verdict {
  Stage.publishConfiguration();
  Stage.addWorkers("r1", WorkerCount, 1.0);
  Stage.writeSettings(SettingsPath);
  if (!Stage.waitUntilReady(SettleMs) || Stage.submit(JobId, JobBody) != 200)
    return Verdict::CouldNotRun;
  sleepMs(DrainDelayMs);
  for (auto &Each : Stage.workers())
    if (!Each->runningTasks().empty()) {
      Each->startDraining(RemainingMs);
      Stage.record().write(Each->id() + " drains, " +
                           std::to_string(RemainingMs) + " ms remain");
    }
  // The workers write their entries 1.4 s after the store is back.
  Stage.waitPastHeartbeat(100);
  if (Trouble) {
    Stage.record().write("the store is down");
    Stage.store().setOutage(StoreStandIn::Outage::All);
  }
  sleepMs(OutageMs);
  if (Trouble) {
    Stage.store().expireRows("servers");
    Stage.store().setOutage(StoreStandIn::Outage::None);
    Stage.record().write("the store is back; the entries of all workers have "
                         "expired and return within 1.5 s");
  }
  sleepMs(WatchMs);
  const auto State = Stage.stateOf(JobId);
  if (reportOverlap(Stage))
    return Verdict::Broken;
  if (Stage.history().entries().empty() || (!Trouble && State != "completed"))
    return Verdict::CouldNotRun;
  Stage.record().write("TWICE held");
  return Verdict::Held;
}

} // namespace review
