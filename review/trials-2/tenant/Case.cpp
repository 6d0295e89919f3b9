// A client of one tenant, which isn't under the operators' control, asks for a
// job of another tenant and cancels it. The job must go on.

#include "../../stage/Stage.h"

#include <csignal>
#include <iostream>

using namespace jayramp::review;

namespace {

constexpr std::size_t HostCount = 2;
constexpr std::size_t WorkerCount = 4;
constexpr int VisibleMs = 3000; ///< bounds.visible_ms
constexpr const char *Job = "/panel/5c0e7a21d94b36f8";
constexpr const char *Body =
    R"({"spec":"ms=20000","steps":[{"count":2,"cpu":4000,"mem-mb":1024,)"
    R"("estimated-ms":20000}]})";

auto play(Stage &Scene) -> Verdict {
  Scene.addWorkers(WorkerCount, {.Service = "svc-a"});
  Scene.addHosts(HostCount);
  Scene.configure({{"panel-match", "/panel/", "svc-a"}}, {"svc-a"});
  if (!Scene.waitUntilReady(1) || !Scene.submit(Job, Body))
    return Verdict::NotRun;
  Stage::pause(VisibleMs);
  if (Scene.stateOf(*Scene.hosts()[0], Job) != "running")
    return Verdict::NotRun;
  bool IsShown = false;
  if (Stage::hasTrouble()) {
    const auto Foreign =
        Scene.call(*Scene.hosts()[1], "GET", Job, "", Stage::SecondKey);
    IsShown = Foreign && Foreign->Status == 200;
    if (IsShown)
      Scene.record().add("BROKEN: tenant-2 is shown the job of tenant-1");
    Scene.call(*Scene.hosts()[1], "DELETE", Job, "", Stage::SecondKey);
  }
  Stage::pause(VisibleMs);
  const auto State = Scene.stateOf(*Scene.hosts()[0], Job);
  if (State != "running")
    Scene.record().add("BROKEN LOST: the job is " + State +
                       ", its tenant has not cancelled it");
  std::cout << "shown to another tenant: " << (IsShown ? "yes" : "no")
            << ", afterwards the job is " << State << '\n';
  return State != "running" ? Verdict::Broken : Verdict::Held;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  Stage Scene({Arguments + 1, Arguments + Count});
  const auto Result = play(Scene);
  Scene.end();
  return static_cast<int>(Result);
}
