// Configurations send two queues to another service while a job of each runs:
// one queue is changed in place, the other is removed by one version and added
// again by the next. The jobs must stay known, and each must stay one job.

#include "../stage/Stage.h"

#include <csignal>
#include <iostream>

using namespace jayramp::review;

namespace {

constexpr std::size_t HostCount = 3;
constexpr std::size_t WorkersPerService = 4;
constexpr int ConfigApplyMs = 2000; ///< bounds.config-apply-ms
constexpr int VisibleMs = 3000;     ///< bounds.visible_ms
const std::string ChangedJob = "/panel/5c0e7a21d94b36f8";
const std::string ReplacedJob = "/take/5c0e7a21d94b36f1";
/// Two work units of 40 s each.
constexpr const char *Body =
    R"({"spec":"ms=40000","steps":[{"count":2,"cpu":4000,"mem-mb":1024,)"
    R"("estimated-ms":40000}]})";

/// Returns the number of pairs of runs of one work unit that overlap.
auto overlaps(const std::vector<StartSeen> &Starts, Record &Log) -> int {
  int Count = 0;
  for (std::size_t First = 0; First < Starts.size(); ++First)
    for (std::size_t Second = First + 1; Second < Starts.size(); ++Second) {
      const auto &Earlier = Starts[First];
      const auto &Later = Starts[Second];
      if (Earlier.Task != Later.Task ||
          (Earlier.EndedMs >= 0 && Earlier.EndedMs <= Later.AtMs))
        continue;
      ++Count;
      Log.add("BROKEN TWICE: " + Later.Task + " began on " + Later.Worker +
              " of " + Later.Service + " while it ran on " + Earlier.Worker +
              " of " + Earlier.Service);
    }
  return Count;
}

/// Returns how many hosts answer that they don't know the job.
auto unknownAt(Stage &Scene, const std::string &Job) -> int {
  int Count = 0;
  for (const auto &Host : Scene.hosts())
    if (Scene.stateOf(*Host, Job) == "410") {
      ++Count;
      Scene.record().add("BROKEN LOST: " + Host->name() + " answers 410 for " +
                         Job + ", which was accepted and runs");
    }
  return Count;
}

auto play(Stage &Scene) -> Verdict {
  const std::vector<std::string> Services{"svc-a", "svc-b"};
  const Route Changed{"panel-match", "/panel/", "svc-b"};
  for (const auto &Service : Services)
    Scene.addWorkers(WorkersPerService, {.Service = Service});
  Scene.addHosts(HostCount);
  Scene.configure(
      {{"panel-match", "/panel/", "svc-a"}, {"take-check", "/take/", "svc-a"}},
      Services);
  if (!Scene.waitUntilReady(Services.size()) ||
      !Scene.submit(ChangedJob, Body) || !Scene.submit(ReplacedJob, Body))
    return Verdict::NotRun;
  Stage::pause(VisibleMs);
  for (const auto &Job : {ChangedJob, ReplacedJob})
    if (Scene.stateOf(*Scene.hosts()[0], Job) != "running")
      return Verdict::NotRun;
  if (Stage::hasTrouble())
    Scene.configure({Changed}, Services);
  Stage::pause(ConfigApplyMs + 1000);
  const int ChangedLost = unknownAt(Scene, ChangedJob);
  if (Stage::hasTrouble())
    Scene.configure({Changed, {"take-check", "/take/", "svc-b"}}, Services);
  Stage::pause(ConfigApplyMs + 1000);
  const int ReplacedLost = unknownAt(Scene, ReplacedJob);
  // Repetitions of the submissions that arrive seconds after their answers.
  for (const auto &Job : {ChangedJob, ReplacedJob})
    Scene.call(*Scene.hosts()[1], "POST", Job, Body);
  Stage::pause(5000);
  const int Twice = overlaps(Scene.starts().all(), Scene.record());
  std::cout << "answers 410 for the job of the changed queue: " << ChangedLost
            << ", of the replaced queue: " << ReplacedLost
            << ", overlapping runs: " << Twice << '\n';
  return ChangedLost + ReplacedLost + Twice > 0 ? Verdict::Broken
                                                : Verdict::Held;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  Stage Scene({Arguments + 1, Arguments + Count});
  const auto Result = play(Scene);
  Scene.end();
  return static_cast<int>(Result);
}
