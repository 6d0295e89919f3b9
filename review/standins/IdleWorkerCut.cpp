#include "Scenarios.h"

namespace review {

namespace {

/// Slowest clock that the pages allow for a worker.
constexpr double SlowClockRate = 0.98;
constexpr std::int64_t IdleMs = 88000;
/// From the start of the run to the cut; the start is confirmed by then.
constexpr std::int64_t CutDelayMs = 100;
constexpr std::int64_t CutMs = 5500;
constexpr std::int64_t WatchMs = 6500;
constexpr std::int64_t SecondJobDelayMs = 1000;
constexpr const char *JobId = "5c0e7a21d94b36f8";
constexpr const char *JobBody =
    R"({"spec":"work-ms=9000","steps":[{"count":1,"cpu":2000,"mem-mb":1024,"gpu":4,"estimated-ms":9000}]})";
/// A second job makes the worker of rack r2 the one that is filled first.
constexpr const char *SecondJobId = "6d0e7a21d94b36f9";
constexpr const char *SecondJobBody =
    R"({"spec":"work-ms=9000","steps":[{"count":1,"cpu":2000,"mem-mb":1024,"gpu":1,"estimated-ms":9000,"requirements":"r2"}]})";

auto workerOfFirstRun(Cluster &Stage) -> WorkerStandIn * {
  for (auto Tries = 0; Tries < 300; ++Tries) {
    for (auto &Each : Stage.workers())
      if (!Each->runningTasks().empty())
        return Each.get();
    sleepMs(10);
  }
  return nullptr;
}

} // namespace

auto runIdleWorkerCut(Cluster &Stage, const std::string &SettingsPath,
                      bool Trouble) -> Verdict {
  Stage.publishConfiguration();
  Stage.addWorkers("r1", 1, SlowClockRate);
  Stage.addWorkers("r2", 1, SlowClockRate);
  // One worker that is cut off is then a share of 0.167.
  Stage.addWorkers("r3", 4, SlowClockRate);
  Stage.writeSettings(SettingsPath);
  if (!Stage.waitUntilReady(IdleMs))
    return Verdict::CouldNotRun;
  if (Stage.submit(JobId, JobBody) != 200)
    return Verdict::CouldNotRun;
  auto *Worker = workerOfFirstRun(Stage);
  if (!Worker)
    return Verdict::CouldNotRun;
  sleepMs(CutDelayMs);
  if (Trouble) {
    Worker->setCutOff(true);
    Stage.record().write(Worker->id() + " is cut off from the entry host");
  }
  sleepMs(SecondJobDelayMs);
  if (Stage.submit(SecondJobId, SecondJobBody) != 200)
    return Verdict::CouldNotRun;
  sleepMs(CutMs - SecondJobDelayMs);
  if (Trouble) {
    Worker->setCutOff(false);
    Stage.record().write(Worker->id() + " is reached again");
  }
  sleepMs(WatchMs);
  const auto State = Stage.stateOf(JobId);
  if (reportOverlap(Stage))
    return Verdict::Broken;
  if (!Trouble && State != "completed")
    return Verdict::CouldNotRun;
  Stage.record().write("TWICE held");
  return Verdict::Held;
}

} // namespace review
