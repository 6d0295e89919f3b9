#include "EndToEnd/GangRecord.h"
#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/TcpForwarder.h"
#include "EndToEnd/TestCluster.h"
#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace jayramp {
namespace {

constexpr Milliseconds LeaseSlack{1000};

auto makeJob(const std::string &Account, const std::string &Key,
             std::uint32_t Accelerators, v1::Priority Priority)
    -> v1::SubmitJob {
  v1::SubmitJob Job;
  Job.set_account(Account);
  Job.set_key(Key);
  Job.set_accelerators(Accelerators);
  Job.set_priority(Priority);
  return Job;
}

auto post(const std::string &Address, const v1::SubmitJob &Job) {
  return HttpTestClient(Address).call("POST", "/v1/jobs", renderJson(Job));
}

auto parseReport(const std::string &Body) -> v1::JobReport {
  v1::JobReport Report;
  auto Parsed = parseJson(Body, Report);
  EXPECT_TRUE(Parsed.has_value()) << Body.substr(0, 300);
  return Report;
}

auto submit(const std::string &Address, const v1::SubmitJob &Job)
    -> v1::JobReport {
  auto Answer = post(Address, Job);
  EXPECT_EQ(Answer.Status, 201U) << Answer.Body.substr(0, 300);
  return parseReport(Answer.Body);
}

auto show(const std::string &Address, const std::string &Id) -> v1::JobReport {
  auto Answer =
      HttpTestClient(Address).call("GET", "/v1/jobs/" + Id, std::string());
  return Answer.Status == 200 ? parseReport(Answer.Body) : v1::JobReport();
}

auto eventually(Milliseconds Timeout, const std::function<bool()> &Holds)
    -> bool {
  const auto End = Clock::now() + Timeout;
  while (Clock::now() < End) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return false;
}

auto reaches(const std::string &Address, const std::string &Id,
             v1::JobState State, Milliseconds Timeout) -> bool {
  return eventually(Timeout,
                    [&] { return show(Address, Id).state() == State; });
}

auto controlWorkers(TestCluster &Cluster, int Count, const std::string &Json)
    -> void {
  for (int Worker = 0; Worker < Count; ++Worker)
    Cluster.workers().control(Json, Worker);
}

/// Index of the entry host that logged the newest takeover.
auto schedulerOf(TestCluster &Cluster) -> std::size_t {
  std::size_t Found = 0;
  long Newest = -1;
  const std::string Mark = "event=scheduler_takeover";
  for (std::size_t Host = 0; Host < Cluster.entryHostCount(); ++Host) {
    auto Text = Cluster.log(Host);
    auto Place = Text.rfind(Mark);
    if (Place == std::string::npos)
      continue;
    auto View = Text.find("view=", Place);
    long Version = std::strtol(Text.c_str() + View + 5, nullptr, 10);
    if (Version > Newest) {
      Newest = Version;
      Found = Host;
    }
  }
  return Found;
}

/// Gives an entry host a table service link of its own and restarts it.
auto useLink(TestCluster &Cluster, std::size_t Host, const TcpForwarder &Link)
    -> void {
  std::stringstream Text;
  Text << std::ifstream(Cluster.settingsPath(Host)).rdbuf();
  auto Settings = Text.str();
  const std::string Old = "table_address: " + Cluster.platformAddress();
  auto Place = Settings.find(Old);
  ASSERT_NE(Place, std::string::npos);
  Settings.replace(Place, Old.size(), "table_address: " + Link.address());
  std::ofstream(Cluster.settingsPath(Host)) << Settings;
  Cluster.restart(Host);
}

const char *const Guaranteed16 =
    R"({"accounts":[{"name":"alpha","request_share":100,)"
    R"("guarantees":[{"accelerators":16,"count":1}]},)"
    R"({"name":"beta","request_share":100}]})";

auto smallCluster() -> TestCluster::Options {
  TestCluster::Options Wanted;
  Wanted.WorkerArguments = {"--accelerators", "4"};
  Wanted.Configuration = Guaranteed16;
  return Wanted;
}

// Guards against gangs that start in part, never end, or are forgotten.
TEST(GangTest, gangOverSeveralWorkersStartsWholeAndEnds) {
  auto Cluster = TestCluster::start(smallCluster());
  controlWorkers(Cluster, 4, R"({"task_run_ms":1500})");
  auto Wanted = makeJob("beta", "whole", 10, v1::SURPLUS);
  auto Report = submit(Cluster.entryAddress(0), Wanted);
  EXPECT_TRUE(reaches(Cluster.entryAddress(1), Report.id(), v1::STARTED,
                      Milliseconds(5000)));
  EXPECT_EQ(show(Cluster.entryAddress(1), Report.id()).placement_size(), 10);
  EXPECT_TRUE(reaches(Cluster.entryAddress(0), Report.id(), v1::SUCCEEDED,
                      Milliseconds(8000)));
  auto Repeat = post(Cluster.entryAddress(1), Wanted);
  EXPECT_EQ(Repeat.Status, 200U);
  EXPECT_EQ(parseReport(Repeat.Body).state(), v1::SUCCEEDED);
  auto Record = GangRecord::read(Cluster.workers(), 4);
  EXPECT_EQ(Record.faults({{Report.id(), 10}}, LeaseSlack), "");
  EXPECT_GE(Record.tasksOf(Report.id()), 3U);
}

// Guards against jobs that wait for ever although they can never run, and
// against submissions that are reported as accepted without being durable.
TEST(GangTest, impossibleAndUnstorableJobsAreRefused) {
  auto Cluster = TestCluster::start(smallCluster());
  auto Impossible = makeJob("beta", "large", 17, v1::SURPLUS);
  EXPECT_TRUE(eventually(Milliseconds(5000), [&] {
    // Until the scheduler has published the topology a job is only rejected
    // by the scheduler itself.
    Impossible.set_key(Impossible.key() + "x");
    return post(Cluster.entryAddress(1), Impossible).Status == 422;
  }));
  auto Stranger = makeJob("nobody", "any", 1, v1::SURPLUS);
  EXPECT_EQ(post(Cluster.entryAddress(0), Stranger).Status, 404U);
  Cluster.platform().control(R"({"down":true})");
  auto Answer =
      post(Cluster.entryAddress(0), makeJob("beta", "outage", 1, v1::SURPLUS));
  EXPECT_EQ(Answer.Status, 503U);
  v1::RequestOutcome Outcome;
  EXPECT_TRUE(parseJson(Answer.Body, Outcome).has_value()) << Answer.Body;
  EXPECT_EQ(Outcome.reason(), v1::STORE_UNAVAILABLE);
  EXPECT_NE(Outcome.outcome(), v1::ANSWERED);
}

// Guards against urgent work that waits for a task that does not cooperate.
TEST(GangTest, urgentWorkStartsInTimeAlthoughAWorkerIgnoresTheCheckpoint) {
  auto Cluster = TestCluster::start(smallCluster());
  Cluster.workers().control(R"({"ignore_checkpoint":true})", 2);
  std::map<std::string, std::uint32_t> Sizes;
  for (int Job = 0; Job < 3; ++Job) {
    const std::uint32_t Size = Job == 2 ? 4 : 6;
    auto Report = submit(
        Cluster.entryAddress(0),
        makeJob("beta", "surplus-" + std::to_string(Job), Size, v1::SURPLUS));
    Sizes[Report.id()] = Size;
    EXPECT_TRUE(reaches(Cluster.entryAddress(0), Report.id(), v1::STARTED,
                        Milliseconds(5000)));
  }
  const auto Begin = unixMilliseconds();
  auto Urgent = submit(Cluster.entryAddress(1),
                       makeJob("alpha", "urgent", 16, v1::URGENT));
  Sizes[Urgent.id()] = 16;
  EXPECT_TRUE(reaches(Cluster.entryAddress(0), Urgent.id(), v1::STARTED,
                      Milliseconds(8000)));
  std::this_thread::sleep_for(Milliseconds(200));
  auto Record = GangRecord::read(Cluster.workers(), 4);
  const auto Took = Record.lastStart(Urgent.id()) - Begin;
  std::cout << "urgent work ran after " << Took << " ms\n";
  EXPECT_GT(Took, 0);
  EXPECT_LE(Took, 5200);
  EXPECT_EQ(Record.faults(Sizes, Milliseconds(4000) + LeaseSlack), "");
}

// Guards against a store outage that stops running gangs or keeps a reclaim
// that is already durable from being carried out.
TEST(GangTest, gangsAreRenewedAndReclaimEndsInAStoreOutage) {
  auto Cluster = TestCluster::start(smallCluster());
  controlWorkers(Cluster, 4, R"({"ignore_checkpoint":true})");
  auto Surplus = submit(Cluster.entryAddress(0),
                        makeJob("beta", "surplus", 16, v1::SURPLUS));
  EXPECT_TRUE(reaches(Cluster.entryAddress(0), Surplus.id(), v1::STARTED,
                      Milliseconds(5000)));
  Cluster.platform().control(R"({"down":true})");
  std::this_thread::sleep_for(Milliseconds(9000));
  auto Record = GangRecord::read(Cluster.workers(), 4);
  EXPECT_EQ(Record.runningAccelerators(Surplus.id()), 16U);
  Cluster.platform().control(R"({"down":false})");
  std::this_thread::sleep_for(Milliseconds(2000));
  auto Urgent = submit(Cluster.entryAddress(1),
                       makeJob("alpha", "urgent", 16, v1::URGENT));
  EXPECT_TRUE(reaches(Cluster.entryAddress(0), Urgent.id(), v1::RESERVED,
                      Milliseconds(2000)));
  Cluster.platform().control(R"({"down":true})");
  EXPECT_TRUE(eventually(Milliseconds(6000), [&] {
    return GangRecord::read(Cluster.workers(), 4)
               .runningAccelerators(Urgent.id()) == 16;
  }));
  Cluster.platform().control(R"({"down":false})");
  EXPECT_TRUE(reaches(Cluster.entryAddress(0), Urgent.id(), v1::STARTED,
                      Milliseconds(8000)));
}

// Guards against cancelled gangs that go on running.
TEST(GangTest, cancelStopsRunningAndWaitingJobs) {
  auto Cluster = TestCluster::start(smallCluster());
  auto Running = submit(Cluster.entryAddress(0),
                        makeJob("beta", "running", 16, v1::SURPLUS));
  EXPECT_TRUE(reaches(Cluster.entryAddress(0), Running.id(), v1::STARTED,
                      Milliseconds(5000)));
  auto Waiting = submit(Cluster.entryAddress(0),
                        makeJob("beta", "waiting", 16, v1::SURPLUS));
  EXPECT_TRUE(eventually(Milliseconds(6000), [&] {
    auto Report = show(Cluster.entryAddress(1), Waiting.id());
    return Report.reason() == v1::WAITING_FOR_CAPACITY &&
           Report.detail().find("needs 16") != std::string::npos;
  })) << show(Cluster.entryAddress(1), Waiting.id()).ShortDebugString();
  for (const auto &Id : {Waiting.id(), Running.id()}) {
    auto Answer = HttpTestClient(Cluster.entryAddress(1))
                      .call("DELETE", "/v1/jobs/" + Id, std::string());
    EXPECT_EQ(Answer.Status, 200U) << Answer.Body;
    EXPECT_TRUE(reaches(Cluster.entryAddress(0), Id, v1::JOB_CANCELLED,
                        Milliseconds(5000)));
  }
  EXPECT_EQ(
      GangRecord::read(Cluster.workers(), 4).runningAccelerators(Running.id()),
      0U);
}

// Guards against a wave of cancellations that exceeds the store's budget or
// leaves jobs behind.
TEST(GangTest, cancelWaveSharesTransactions) {
  auto Cluster = TestCluster::start(smallCluster());
  auto Running = submit(Cluster.entryAddress(0),
                        makeJob("beta", "running", 16, v1::SURPLUS));
  EXPECT_TRUE(reaches(Cluster.entryAddress(0), Running.id(), v1::STARTED,
                      Milliseconds(5000)));
  constexpr int Callers = 32;
  constexpr int JobsEach = 30;
  std::vector<std::vector<std::string>> Ids(Callers);
  auto InParallel = [](const std::function<void(int)> &Work) {
    std::vector<std::thread> Threads;
    for (int Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back(Work, Caller);
    for (auto &Each : Threads)
      Each.join();
  };
  auto Commits = [&Cluster] {
    return Cluster.platform()
        .record()
        .at("writes")
        .at("commit")
        .as_number()
        .to_int64();
  };
  InParallel([&](int Caller) {
    for (int Job = 0; Job < JobsEach; ++Job) {
      auto Key = std::to_string(Caller) + "-" + std::to_string(Job);
      auto Answer = post(Cluster.entryAddress(Caller % 2),
                         makeJob("beta", Key, 16, v1::SURPLUS));
      if (Answer.Status == 201)
        Ids[static_cast<std::size_t>(Caller)].push_back(
            parseReport(Answer.Body).id());
    }
  });
  const auto Before = Commits();
  const auto Begin = Clock::now();
  std::atomic<int> Cancelled{0};
  InParallel([&](int Caller) {
    for (const auto &Id : Ids[static_cast<std::size_t>(Caller)])
      Cancelled += HttpTestClient(Cluster.entryAddress(Caller % 2))
                               .call("DELETE", "/v1/jobs/" + Id)
                               .Status == 200
                       ? 1
                       : 0;
  });
  const auto Took =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - Begin).count();
  const auto Used = Commits() - Before;
  std::cout << "cancelled " << Cancelled << " jobs in " << Took << " ms with "
            << Used << " transactions\n";
  EXPECT_EQ(Cancelled, Callers * JobsEach);
  EXPECT_LE(Used, Callers * JobsEach / 4);
  auto Answer = HttpTestClient(Cluster.entryAddress(0))
                    .call("GET", "/v1/jobs?account=beta");
  v1::JobList List;
  ASSERT_TRUE(parseJson(Answer.Body, List).has_value());
  int Left = 0;
  for (const auto &Job : List.jobs())
    Left += Job.state() == v1::JOB_CANCELLED ? 0 : 1;
  EXPECT_EQ(Left, 1); // The one that runs.
}

// Guards against a planned stop that interrupts the gangs of the scheduler.
TEST(GangTest, plannedStopOfTheSchedulerHandsRunningGangsOver) {
  auto Cluster = TestCluster::start(smallCluster());
  controlWorkers(Cluster, 4, R"({"task_run_ms":8000})");
  auto Report = submit(Cluster.entryAddress(0),
                       makeJob("beta", "handed-over", 16, v1::SURPLUS));
  EXPECT_TRUE(reaches(Cluster.entryAddress(0), Report.id(), v1::STARTED,
                      Milliseconds(5000)));
  const auto Host = schedulerOf(Cluster);
  EXPECT_EQ(Cluster.stop(Host, Milliseconds(10000)), 0);
  const auto Other = Cluster.entryAddress(1 - Host);
  EXPECT_TRUE(reaches(Other, Report.id(), v1::SUCCEEDED, Milliseconds(15000)));
  EXPECT_EQ(show(Other, Report.id()).attempt(), 1U);
}

// Guards against partial gangs, accelerators in two gangs and jobs that stay
// reserved when the scheduler dies, pauses or loses the store at any moment.
TEST(GangTest, faultsOfTheSchedulerLeaveNoPartialGang) {
  const char *Given = std::getenv("JAYRAMP_SEED");
  const auto Seed =
      Given ? std::strtoul(Given, nullptr, 10) : std::random_device{}();
  std::cout << "JAYRAMP_SEED=" << Seed << "\n";
  std::mt19937 Random(static_cast<std::mt19937::result_type>(Seed));
  auto Between = [&Random](int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  };
  auto Wanted = smallCluster();
  Wanted.EntryHosts = 3;
  Wanted.Workers = 6;
  auto Cluster = TestCluster::start(Wanted);
  std::vector<std::unique_ptr<TcpForwarder>> Links;
  for (std::size_t Host = 0; Host < Cluster.entryHostCount(); ++Host) {
    Links.push_back(std::make_unique<TcpForwarder>(Cluster.platformAddress()));
    useLink(Cluster, Host, *Links.back());
  }
  // Slow workers stretch the steps of a start, so that faults fall into them;
  // tasks outlast a surplus lease.
  for (int Worker = 0; Worker < 6; ++Worker)
    Cluster.workers().control(R"({"task_run_ms":5000,"delay_ms":)" +
                                  std::to_string(Between(0, 250)) + "}",
                              Worker);
  Cluster.workers().control(R"({"ignore_checkpoint":true})", 1);
  std::map<std::string, std::uint32_t> Sizes;
  auto SubmitSome = [&](int Round) {
    for (int Job = 0; Job < 3; ++Job) {
      const bool Urgent = Job == 2;
      const auto Size = static_cast<std::uint32_t>(Between(5, 12));
      auto Next = makeJob(Urgent ? "alpha" : "beta",
                          std::to_string(Round) + "-" + std::to_string(Job),
                          Size, Urgent ? v1::URGENT : v1::SURPLUS);
      eventually(Milliseconds(20000), [&] {
        try {
          auto Answer = post(
              Cluster.entryAddress(static_cast<std::size_t>(Between(0, 2))),
              Next);
          if (Answer.Status != 200 && Answer.Status != 201)
            return false;
          Sizes[parseReport(Answer.Body).id()] = Size;
          return true;
        } catch (const std::exception &) {
          return false; // The entry host is dead or paused.
        }
      });
    }
  };
  for (int Round = 0; Round < 6; ++Round) {
    std::cout << "round " << Round << ": " << std::flush;
    SubmitSome(Round);
    std::this_thread::sleep_for(Milliseconds(Between(0, 1000)));
    const auto Host = schedulerOf(Cluster);
    switch (Between(0, 4)) {
    case 0:
      std::cout << "kill entry host " << Host << std::endl;
      Cluster.kill(Host);
      std::this_thread::sleep_for(Milliseconds(Between(0, 4000)));
      Cluster.startEntry(Host);
      break;
    case 1:
      std::cout << "pause entry host " << Host << std::endl;
      Cluster.suspend(Host);
      std::this_thread::sleep_for(Milliseconds(Between(500, 7000)));
      Cluster.resume(Host);
      break;
    case 2:
      std::cout << "cut the store of entry host " << Host << std::endl;
      Links[Host]->setDisconnected(true);
      std::this_thread::sleep_for(Milliseconds(Between(500, 7000)));
      Links[Host]->setDisconnected(false);
      break;
    case 3: {
      const int Worker = Between(0, 5);
      std::cout << "freeze worker " << Worker << std::endl;
      Cluster.workers().control(R"({"freeze":true})", Worker);
      std::this_thread::sleep_for(Milliseconds(Between(500, 7000)));
      Cluster.workers().control(R"({"freeze":false})", Worker);
      break;
    }
    default:
      std::cout << "store down" << std::endl;
      Cluster.platform().control(R"({"down":true})");
      std::this_thread::sleep_for(Milliseconds(Between(500, 5000)));
      Cluster.platform().control(R"({"down":false})");
      break;
    }
    std::this_thread::sleep_for(Milliseconds(Between(0, 3000)));
  }
  EXPECT_EQ(Sizes.size(), 18U);
  for (std::size_t Host = 0; Host < 3; ++Host)
    Cluster.waitUntilReady(Host, Milliseconds(20000));
  for (const auto &[Id, Size] : Sizes)
    EXPECT_TRUE(reaches(Cluster.entryAddress(0), Id, v1::SUCCEEDED,
                        Milliseconds(60000)))
        << show(Cluster.entryAddress(0), Id).ShortDebugString();
  auto Record = GangRecord::read(Cluster.workers(), 6);
  // Urgent work uses its account's guarantee and has the longer lease.
  EXPECT_EQ(Record.faults(Sizes, Milliseconds(10000) + LeaseSlack), "");
  std::map<std::string, std::uint32_t> Surplus;
  for (const auto &[Id, Size] : Sizes)
    if (show(Cluster.entryAddress(0), Id).priority() == v1::SURPLUS)
      Surplus[Id] = Size;
  EXPECT_EQ(Record.faults(Surplus, Milliseconds(4000) + LeaseSlack), "");
  std::cout << "longest partial gang " << Record.longestPartial() << " ms\n";
  for (std::size_t Host = 0; Host < 3; ++Host)
    if (::testing::Test::HasFailure())
      std::cout << "--- log of entry host " << Host << "\n"
                << Cluster.log(Host).substr(0, 60000) << "\n";
}

} // namespace
} // namespace jayramp
