// A configuration sends a queue to another service while a job of the queue
// runs. The job must stay known and must stay one job.

#include "../stage/Stage.h"

#include <csignal>
#include <iostream>

using namespace jayramp::review;

namespace {

constexpr std::size_t HostCount = 3;
constexpr std::size_t WorkersPerService = 4;
constexpr int ConfigApplyMs = 2000; ///< bounds.config-apply-ms
constexpr int VisibleMs = 3000;     ///< bounds.visible_ms
constexpr const char *Queue = "/panel/";
constexpr const char *Job = "/panel/5c0e7a21d94b36f8";
/// Two work units of 25 s each.
constexpr const char *Body =
    R"({"spec":"ms=25000","steps":[{"count":2,"cpu":4000,"mem-mb":1024,)"
    R"("estimated-ms":25000}]})";

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

auto play(Stage &Scene) -> Verdict {
  Scene.addWorkers(WorkersPerService, {.Service = "svc-a"});
  Scene.addWorkers(WorkersPerService, {.Service = "svc-b"});
  Scene.addHosts(HostCount);
  Scene.configure({{"panel-match", Queue, "svc-a"}}, {"svc-a", "svc-b"});
  if (!Scene.waitUntilReady(2) || !Scene.submit(Job, Body))
    return Verdict::NotRun;
  Stage::pause(VisibleMs);
  if (Scene.stateOf(*Scene.hosts()[0], Job) != "running")
    return Verdict::NotRun;
  if (Stage::hasTrouble())
    Scene.configure({{"panel-match", Queue, "svc-b"}}, {"svc-a", "svc-b"});
  Stage::pause(ConfigApplyMs + 1000);
  int Lost = 0;
  for (const auto &Host : Scene.hosts())
    if (Scene.stateOf(*Host, Job) == "410") {
      ++Lost;
      Scene.record().add("BROKEN LOST: " + Host->name() +
                         " answers 410 for an accepted job");
    }
  // A repetition of the submission that arrives seconds after its answer.
  Scene.call(*Scene.hosts()[1], "POST", Job, Body);
  Stage::pause(5000);
  const int Twice = overlaps(Scene.starts().all(), Scene.record());
  std::cout << "answers 410: " << Lost << ", overlapping runs: " << Twice
            << '\n';
  return Lost > 0 || Twice > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  Stage Scene({Arguments + 1, Arguments + Count});
  const auto Result = play(Scene);
  Scene.end();
  return static_cast<int>(Result);
}
