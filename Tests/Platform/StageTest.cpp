#include "StageTest.h"

#include "RestartPlayer.h"

#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <thread>

namespace jayramp::platform_test {

namespace {

constexpr std::int64_t SettleMs = 3000;

} // namespace

auto environmentNumber(const char *Name, std::uint64_t Default)
    -> std::uint64_t {
  const auto *Value = std::getenv(Name);
  return Value ? std::strtoull(Value, nullptr, 10) : Default;
}

auto jobId(std::uint64_t Client, std::uint64_t Number) -> std::string {
  // The multiplier spreads the ids over the partitions of the store.
  const auto Id = (Client << 32U | Number) * std::uint64_t{0x9e3779b97f4a7c15};
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016" PRIx64, Id);
  return Text;
}

StageTest::StageTest() {
  const auto *Given = std::getenv("JAYRAMP_KEEP_LOGS");
  const auto *Test = testing::UnitTest::GetInstance()->current_test_info();
  IsKept = Given;
  Folder = std::string(Given ? Given : testing::TempDir()) + "/" +
           Test->test_suite_name() + "-" + Test->name() + "-" +
           std::to_string(Seed) + "-" + std::to_string(::getpid());
  std::filesystem::create_directories(Folder);
  std::cout << "JAYRAMP_SEED=" << Seed << "\n";
}

StageTest::~StageTest() {
  if (Stage)
    Stage->close();
  if (HasFailure())
    std::cout << "logs are kept in " << Folder << "\n";
  else if (!IsKept)
    std::filesystem::remove_all(Folder);
}

auto StageTest::start() -> void {
  auto Started = OutageStage::start(Folder);
  ASSERT_TRUE(Started) << Started.error().message();
  Stage = Started.value();
  Stage->run(SettleMs);
}

auto StageTest::submit(const JobPlan &Plan) -> void {
  ASSERT_TRUE(Stage->jobs().submit(Plan, Stage->callers(), NextCaller++));
}

auto StageTest::submitRandom(RandomJob NextJob, const std::string &Id,
                             std::mt19937_64 &Random) -> void {
  // The order of the draws is part of what a seed repeats.
  const auto Host = Random() % FaultPlan::HostCount;
  Stage->jobs().submit(NextJob(Id, Random), Stage->callers(), Host);
}

auto StageTest::sender(std::uint64_t Number, const Traffic &Jobs) -> Client {
  return [this, Number, Jobs](const std::atomic<bool> &Stop) {
    std::mt19937_64 Random(Seed << 32U | Number);
    for (std::uint64_t Job = 1; !Stop; ++Job) {
      submitRandom(Jobs.NextJob, jobId(Number, Job), Random);
      review::sleepMs(std::uniform_int_distribution(Jobs.MinPauseMs,
                                                    Jobs.MaxPauseMs)(Random));
    }
  };
}

auto StageTest::runClients(const std::vector<Client> &Clients,
                           const std::function<void()> &Play) -> void {
  std::atomic<bool> Stop = false;
  std::vector<std::jthread> Threads;
  for (const auto &Each : Clients)
    Threads.emplace_back([&] { Each(Stop); });
  Threads.emplace_back([&] { askForStates(Stop); });
  Play();
  Stop = true;
}

auto StageTest::play(const RestartPlan &Plan, bool LooksForIdleRoom,
                     const std::vector<Client> &Clients) -> void {
  FaultPlan HostFaults;
  HostFaults.HostFaults = Plan.HostFaults;
  HostFaults.LooksForIdleRoom = LooksForIdleRoom;
  RestartPlayer Player(Stage->platform(), Plan, Seed);
  Stage->beginFaults(HostFaults);
  Player.begin();
  runClients(Clients, [&] {
    Stage->run(Plan.endMs());
    Stage->runUntilCalm();
  });
}

auto StageTest::sleepUntil(std::int64_t AtMs) -> void {
  if (const auto LeftMs = AtMs - Stage->elapsedMs(); LeftMs > 0)
    review::sleepMs(LeftMs);
}

auto StageTest::trafficMs(std::uint64_t DefaultSeconds) -> std::int64_t {
  return static_cast<std::int64_t>(
             environmentNumber("JAYRAMP_SECONDS", DefaultSeconds)) *
         1000;
}

auto StageTest::askForStates(const std::atomic<bool> &Stop) -> void {
  std::mt19937_64 Random(Seed);
  while (!Stop) {
    if (const auto Jobs = Stage->jobs().all(); !Jobs.empty())
      Stage->jobs().stateOf(Jobs[Random() % Jobs.size()],
                            Stage->callers()[Random() % FaultPlan::HostCount]);
    review::sleepMs(100);
  }
}

auto StageTest::expectAllCompleted(std::int64_t LimitMs) -> void {
  for (const auto &Each : Stage->runUntilCompleted(LimitMs))
    ADD_FAILURE() << Each;
}

auto StageTest::expectNoFindings() -> void {
  std::cout << Stage->summary() << "\n";
  for (const auto &Each : Stage->findings())
    ADD_FAILURE() << Each;
}

} // namespace jayramp::platform_test
