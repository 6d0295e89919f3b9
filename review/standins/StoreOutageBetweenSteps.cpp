#include "Scenarios.h"

#include <string>

namespace review {

namespace {

constexpr std::int64_t SettleMs = 3000;
constexpr unsigned JobsPerRound = 3;
/// Workers of the first steps, and of the second ones.
constexpr unsigned FirstRackWorkers = 3;
constexpr unsigned SecondRackWorkers = 47;
constexpr unsigned Rounds = 4;
/// The first steps begin before the outage and end in it, one after the other.
constexpr std::int64_t FirstStepMs = 2200;
constexpr std::int64_t FirstStepSpreadMs = 25;
/// Three heartbeat intervals, after which the store drops an entry.
constexpr std::int64_t OutageMs = 4500;
/// Time until the last partitions are back, too.
constexpr std::int64_t PartialOutageMs = 600;
/// The outage begins and ends this long after heartbeats, so the workers write
/// their entries 0.8 s after the store is back.
constexpr std::int64_t OutagePhaseMs = 700;
/// From the return of the store to the drain.
constexpr std::int64_t DrainDelayMs = 3000;
constexpr std::int64_t RemainingMs = 4000;
constexpr std::int64_t WatchMs = 3000;

auto jobId(unsigned Round, unsigned Number) -> std::string {
  // The last digit decides which partitions of the store hold the job; these
  // are recorded in the partition that comes back last.
  return "c0ffee000000" + std::to_string(100 + Round) + "37c"[Number % 3];
}

/// A short task on a worker of rack r1, then a long one on a worker of rack r2;
/// each takes all accelerators of its worker.
auto jobBody(unsigned Number) -> std::string {
  const auto First = std::to_string(FirstStepMs + FirstStepSpreadMs * Number);
  return R"({"spec":"work-ms-0=)" + First +
         R"( gpu-0=8 work-ms-1=60000 gpu-1=8","steps":[{"count":1,"cpu":1000,)" +
         R"("mem-mb":512,"gpu":8,"estimated-ms":2000,"requirements":"r1"},)" +
         R"({"count":1,"cpu":8000,"mem-mb":8192,"gpu":8,"estimated-ms":60000,)" +
         R"("after":[0],"requirements":"r2"}]})";
}

/// Lets the workers drain that run a second step, which is at most
/// JobsPerRound.
auto drainWorkersInUse(Cluster &Stage) -> void {
  for (auto &Each : Stage.workers())
    if (Each->rack() == "r2" && !Each->runningTasks().empty()) {
      Each->startDraining(RemainingMs);
      Stage.record().write(Each->id() + " drains, " +
                           std::to_string(RemainingMs) + " ms remain");
    }
}

} // namespace

auto runStoreOutageBetweenSteps(Cluster &Stage, const std::string &SettingsPath,
                                bool Trouble) -> Verdict {
  Stage.publishConfiguration();
  Stage.addWorkers("r1", FirstRackWorkers, 1.0);
  Stage.addWorkers("r2", SecondRackWorkers, 1.0);
  Stage.writeSettings(SettingsPath);
  if (!Stage.waitUntilReady(SettleMs))
    return Verdict::CouldNotRun;
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    Stage.waitPastHeartbeat(0);
    for (unsigned Number = 0; Number < JobsPerRound; ++Number)
      if (Stage.submit(jobId(Round, Number), jobBody(Number)) != 200)
        return Verdict::CouldNotRun;
    Stage.waitPastHeartbeat(OutagePhaseMs);
    if (Trouble) {
      Stage.record().write("the store is down");
      Stage.store().setOutage(StoreStandIn::Outage::All);
    }
    sleepMs(OutageMs);
    if (Trouble) {
      Stage.store().expireRows("servers");
      Stage.store().setOutage(StoreStandIn::Outage::SomePartitions);
      Stage.record().write("the store is back but for some of its partitions; "
                           "the entries of all workers have expired and return "
                           "within 1.5 s");
    }
    sleepMs(PartialOutageMs);
    if (Trouble) {
      Stage.store().setOutage(StoreStandIn::Outage::None);
      Stage.record().write("the whole store is back");
    }
    sleepMs(DrainDelayMs);
    drainWorkersInUse(Stage);
    sleepMs(WatchMs);
    if (reportOverlap(Stage))
      return Verdict::Broken;
    for (unsigned Number = 0; Number < JobsPerRound; ++Number)
      Stage.cancel(jobId(Round, Number));
    sleepMs(2000);
  }
  if (Stage.history().entries().empty())
    return Verdict::CouldNotRun;
  Stage.record().write("TWICE held");
  return Verdict::Held;
}

} // namespace review
