// Workers crash and start again under their ids as workers of another kind. No
// work unit may start on a worker without the label that it requires.

#include "../../stage/Stage.h"

#include <csignal>
#include <iostream>

using namespace jayramp::review;

namespace {

constexpr std::size_t HostCount = 3;
constexpr std::size_t WorkerCount = 24;
constexpr std::size_t CrashedAtOnce = 4; ///< 0.17 of the workers.
constexpr int ShortestDownMs = 2000;
constexpr int DownStepMs = 90;
constexpr int ReportIntervalMs = 1500; ///< heartbeat-ms
constexpr int Rounds = 18;
constexpr const char *Kinds[] = {"a", "b"};

/// A job of one kind; both kinds have more of them than room.
auto body(const std::string &Kind) -> std::string {
  return R"({"spec":"ms=6000","steps":[{"count":24,"cpu":16000,"mem-mb":1024,)"
         R"("estimated-ms":6000,"requirements":")" +
         Kind + R"("}]})";
}

auto jobPath(int Number, const char *Kind) -> std::string {
  auto Text = std::to_string(1'000'000'000'000'000 + Number * 2);
  return "/panel/" + Text.substr(0, 15) + Kind;
}

auto play(Stage &Scene) -> Verdict {
  std::vector<std::size_t> KindOf(WorkerCount);
  for (std::size_t Number = 0; Number < WorkerCount; ++Number) {
    KindOf[Number] = Number % 2;
    Scene.addWorkers(1, {.Service = "svc-a", .Kind = Kinds[KindOf[Number]]});
    // The workers report in turn.
    Stage::pause(ReportIntervalMs / static_cast<int>(WorkerCount));
  }
  Scene.addHosts(HostCount);
  Scene.configure({{"panel-match", "/panel/", "svc-a"}}, {"svc-a"});
  if (!Scene.waitUntilReady(1))
    return Verdict::NotRun;
  int Job = 0;
  std::size_t Next = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    for (const auto *Kind : Kinds)
      for (int Count = 0; Count < 2; ++Count)
        Scene.call(*Scene.hosts()[Round % HostCount], "POST",
                   jobPath(++Job, Kind), body(Kind));
    std::vector<std::size_t> Crashed;
    for (std::size_t Count = 0; Count < CrashedAtOnce; ++Count)
      Crashed.push_back(Next++ % WorkerCount);
    for (const auto Number : Crashed)
      Scene.workers()[Number]->crash();
    Stage::pause(ShortestDownMs + Round * DownStepMs);
    for (const auto Number : Crashed) {
      Stage::pause(40);
      if (Stage::hasTrouble())
        KindOf[Number] = 1 - KindOf[Number];
      Scene.workers()[Number]->start(
          {.Service = "svc-a", .Kind = Kinds[KindOf[Number]]});
    }
    Stage::pause(2500);
  }
  int Wrong = 0;
  for (const auto &Each : Scene.starts().all())
    // The last digit of a job's id is the kind that it requires.
    if (Each.Task.substr(15, 1) != Each.Kind) {
      ++Wrong;
      Scene.record().add("BROKEN ROUTE: " + Each.Task + " began on " +
                         Each.Worker + ", a worker of kind " + Each.Kind +
                         ", at " + std::to_string(Each.AtMs));
    }
  std::cout << "starts: " << Scene.starts().all().size()
            << ", without the label: " << Wrong << '\n';
  return Wrong > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  Stage Scene({Arguments + 1, Arguments + Count});
  const auto Result = play(Scene);
  Scene.end();
  return static_cast<int>(Result);
}
