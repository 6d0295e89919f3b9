#include "EndToEnd/GangExecutionRecord.h"
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

// Added to the length of a lease when the tests bound how long a gang may run
// with only part of its accelerators.
constexpr Milliseconds LeaseTolerance{1000};

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

auto postJob(const std::string &Address, const v1::SubmitJob &Job) {
  return HttpTestClient(Address).call("POST", "/v1/jobs", renderJson(Job));
}

auto parseReport(const std::string &Body) -> v1::JobReport {
  v1::JobReport Report;
  auto Parsed = parseJson(Body, Report);
  EXPECT_TRUE(Parsed.has_value()) << Body.substr(0, 300);
  return Report;
}

/// Submits \p Job, expects that it is new and returns its report.
auto submitJob(const std::string &Address, const v1::SubmitJob &Job)
    -> v1::JobReport {
  auto Answer = postJob(Address, Job);
  EXPECT_EQ(Answer.Status, 201U) << Answer.Body.substr(0, 300);
  return parseReport(Answer.Body);
}

/// Returns the report of the job; an empty one if the host does not return it.
auto fetchReport(const std::string &Address, const std::string &Id)
    -> v1::JobReport {
  auto Answer =
      HttpTestClient(Address).call("GET", "/v1/jobs/" + Id, std::string());
  return Answer.Status == 200 ? parseReport(Answer.Body) : v1::JobReport();
}

/// Polls \p Condition until it holds; returns false if it does not within
/// \p Timeout.
auto becomesTrueWithin(Milliseconds Timeout,
                       const std::function<bool()> &Condition) -> bool {
  const auto End = Clock::now() + Timeout;
  while (Clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return false;
}

auto reachesState(const std::string &Address, const std::string &Id,
                  v1::JobState State, Milliseconds Timeout) -> bool {
  return becomesTrueWithin(
      Timeout, [&] { return fetchReport(Address, Id).state() == State; });
}

auto controlWorkers(TestCluster &Cluster, int Count, const std::string &Json)
    -> void {
  for (int Worker = 0; Worker < Count; ++Worker)
    Cluster.workers().control(Json, Worker);
}

/// Returns the index of the entry host that logged the scheduler takeover with
/// the newest view version, which is the scheduler; 0 if none has logged one.
auto findSchedulerHost(TestCluster &Cluster) -> std::size_t {
  std::size_t Found = 0;
  long NewestVersion = -1;
  const std::string EventText = "event=scheduler_takeover";
  for (std::size_t Host = 0; Host < Cluster.entryHostCount(); ++Host) {
    auto Text = Cluster.log(Host);
    auto Position = Text.rfind(EventText);
    if (Position == std::string::npos)
      continue;
    auto ViewPosition = Text.find("view=", Position);
    long Version = std::strtol(Text.c_str() + ViewPosition + 5, nullptr, 10);
    if (Version > NewestVersion) {
      NewestVersion = Version;
      Found = Host;
    }
  }
  return Found;
}

/// Restarts an entry host with settings that reach the table service through
/// \p StoreForwarder, so that its connection can be cut.
auto routeTableServiceThrough(TestCluster &Cluster, std::size_t Host,
                              const TcpForwarder &StoreForwarder) -> void {
  std::stringstream Text;
  Text << std::ifstream(Cluster.settingsPath(Host)).rdbuf();
  auto Settings = Text.str();
  const std::string Old = "table_address: " + Cluster.platformAddress();
  auto Position = Settings.find(Old);
  ASSERT_NE(Position, std::string::npos);
  Settings.replace(Position, Old.size(),
                   "table_address: " + StoreForwarder.address());
  std::ofstream(Cluster.settingsPath(Host)) << Settings;
  Cluster.restart(Host);
}

const char *const ConfigurationWithGuaranteeOf16 =
    R"({"accounts":[{"name":"alpha","request_share":100,)"
    R"("guarantees":[{"accelerators":16,"count":1}]},)"
    R"({"name":"beta","request_share":100}]})";

auto smallClusterOptions() -> TestCluster::Options {
  TestCluster::Options ClusterOptions;
  ClusterOptions.WorkerArguments = {"--accelerators", "4"};
  ClusterOptions.Configuration = ConfigurationWithGuaranteeOf16;
  return ClusterOptions;
}

// Guards against gangs that start only some of their tasks, never end, or are
// lost from the job table.
TEST(GangTest, gangOnSeveralWorkersStartsCompletelyAndEnds) {
  auto Cluster = TestCluster::start(smallClusterOptions());
  controlWorkers(Cluster, 4, R"({"task_run_ms":1500})");
  auto Job = makeJob("beta", "whole", 10, v1::SURPLUS);
  auto Report = submitJob(Cluster.entryAddress(0), Job);
  EXPECT_TRUE(reachesState(Cluster.entryAddress(1), Report.id(), v1::STARTED,
                           Milliseconds(5000)));
  EXPECT_EQ(fetchReport(Cluster.entryAddress(1), Report.id()).placement_size(),
            10);
  EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Report.id(), v1::SUCCEEDED,
                           Milliseconds(8000)));
  auto Repeat = postJob(Cluster.entryAddress(1), Job);
  EXPECT_EQ(Repeat.Status, 200U);
  EXPECT_EQ(parseReport(Repeat.Body).state(), v1::SUCCEEDED);
  auto Record = GangExecutionRecord::read(Cluster.workers(), 4);
  EXPECT_EQ(Record.violations({{Report.id(), 10}}, LeaseTolerance), "");
  EXPECT_GE(Record.taskCount(Report.id()), 3U);
}

// Guards against jobs that wait for ever because the cluster is too small to
// run them, and against submissions that are confirmed without being durable.
TEST(GangTest, jobsThatCannotRunOrBeStoredAreRefused) {
  auto Cluster = TestCluster::start(smallClusterOptions());
  auto OversizedJob = makeJob("beta", "large", 17, v1::SURPLUS);
  EXPECT_TRUE(becomesTrueWithin(Milliseconds(5000), [&] {
    // The entry host can refuse the job only after the scheduler has published
    // the topology. Until then it accepts the job, and the scheduler rejects
    // it later.
    OversizedJob.set_key(OversizedJob.key() + "x");
    return postJob(Cluster.entryAddress(1), OversizedJob).Status == 422;
  }));
  auto UnknownAccountJob = makeJob("nobody", "any", 1, v1::SURPLUS);
  EXPECT_EQ(postJob(Cluster.entryAddress(0), UnknownAccountJob).Status, 404U);
  Cluster.platform().control(R"({"down":true})");
  auto Answer = postJob(Cluster.entryAddress(0),
                        makeJob("beta", "outage", 1, v1::SURPLUS));
  EXPECT_EQ(Answer.Status, 503U);
  v1::RequestOutcome Outcome;
  EXPECT_TRUE(parseJson(Answer.Body, Outcome).has_value()) << Answer.Body;
  EXPECT_EQ(Outcome.reason(), v1::STORE_UNAVAILABLE);
  EXPECT_NE(Outcome.outcome(), v1::ANSWERED);
}

// Guards against urgent gangs that wait for a surplus task that ignores the
// request to checkpoint and stop.
TEST(GangTest, urgentGangStartsInTimeAlthoughAWorkerIgnoresTheCheckpoint) {
  auto Cluster = TestCluster::start(smallClusterOptions());
  Cluster.workers().control(R"({"ignore_checkpoint":true})", 2);
  std::map<std::string, std::uint32_t> AcceleratorsByJob;
  for (int Job = 0; Job < 3; ++Job) {
    const std::uint32_t Accelerators = Job == 2 ? 4 : 6;
    auto Report = submitJob(Cluster.entryAddress(0),
                            makeJob("beta", "surplus-" + std::to_string(Job),
                                    Accelerators, v1::SURPLUS));
    AcceleratorsByJob[Report.id()] = Accelerators;
    EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Report.id(), v1::STARTED,
                             Milliseconds(5000)));
  }
  const auto Begin = unixMilliseconds();
  auto Urgent = submitJob(Cluster.entryAddress(1),
                          makeJob("alpha", "urgent", 16, v1::URGENT));
  AcceleratorsByJob[Urgent.id()] = 16;
  EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Urgent.id(), v1::STARTED,
                           Milliseconds(8000)));
  std::this_thread::sleep_for(Milliseconds(200));
  auto Record = GangExecutionRecord::read(Cluster.workers(), 4);
  const auto StartDelayMs = Record.lastTaskStartMs(Urgent.id()) - Begin;
  std::cout << "the urgent gang ran after " << StartDelayMs << " ms\n";
  EXPECT_GT(StartDelayMs, 0);
  EXPECT_LE(StartDelayMs, 5200);
  EXPECT_EQ(
      Record.violations(AcceleratorsByJob, Milliseconds(4000) + LeaseTolerance),
      "");
}

// Guards against a store outage that ends the leases of running gangs, or that
// prevents a reclaim that was stored before the outage from completing.
TEST(GangTest, leasesAreRenewedAndAReclaimCompletesDuringAStoreOutage) {
  auto Cluster = TestCluster::start(smallClusterOptions());
  controlWorkers(Cluster, 4, R"({"ignore_checkpoint":true})");
  auto Surplus = submitJob(Cluster.entryAddress(0),
                           makeJob("beta", "surplus", 16, v1::SURPLUS));
  EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Surplus.id(), v1::STARTED,
                           Milliseconds(5000)));
  Cluster.platform().control(R"({"down":true})");
  std::this_thread::sleep_for(Milliseconds(9000));
  auto Record = GangExecutionRecord::read(Cluster.workers(), 4);
  EXPECT_EQ(Record.runningAccelerators(Surplus.id()), 16U);
  Cluster.platform().control(R"({"down":false})");
  std::this_thread::sleep_for(Milliseconds(2000));
  auto Urgent = submitJob(Cluster.entryAddress(1),
                          makeJob("alpha", "urgent", 16, v1::URGENT));
  EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Urgent.id(), v1::RESERVED,
                           Milliseconds(2000)));
  Cluster.platform().control(R"({"down":true})");
  EXPECT_TRUE(becomesTrueWithin(Milliseconds(6000), [&] {
    return GangExecutionRecord::read(Cluster.workers(), 4)
               .runningAccelerators(Urgent.id()) == 16;
  }));
  Cluster.platform().control(R"({"down":false})");
  EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Urgent.id(), v1::STARTED,
                           Milliseconds(8000)));
}

// Guards against cancelled gangs that keep running.
TEST(GangTest, cancellationStopsRunningAndWaitingJobs) {
  auto Cluster = TestCluster::start(smallClusterOptions());
  auto Running = submitJob(Cluster.entryAddress(0),
                           makeJob("beta", "running", 16, v1::SURPLUS));
  EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Running.id(), v1::STARTED,
                           Milliseconds(5000)));
  auto Waiting = submitJob(Cluster.entryAddress(0),
                           makeJob("beta", "waiting", 16, v1::SURPLUS));
  EXPECT_TRUE(becomesTrueWithin(Milliseconds(6000), [&] {
    auto Report = fetchReport(Cluster.entryAddress(1), Waiting.id());
    return Report.reason() == v1::WAITING_FOR_CAPACITY &&
           Report.detail().find("needs 16") != std::string::npos;
  })) << fetchReport(Cluster.entryAddress(1), Waiting.id()).ShortDebugString();
  for (const auto &Id : {Waiting.id(), Running.id()}) {
    auto Answer = HttpTestClient(Cluster.entryAddress(1))
                      .call("DELETE", "/v1/jobs/" + Id, std::string());
    EXPECT_EQ(Answer.Status, 200U) << Answer.Body;
    EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Id, v1::JOB_CANCELLED,
                             Milliseconds(5000)));
  }
  EXPECT_EQ(GangExecutionRecord::read(Cluster.workers(), 4)
                .runningAccelerators(Running.id()),
            0U);
}

// Guards against many concurrent cancellations that need one store transaction
// each, which exceeds the transaction budget of the store, or that leave jobs
// uncancelled.
TEST(GangTest, concurrentCancellationsShareTransactions) {
  auto Cluster = TestCluster::start(smallClusterOptions());
  auto Running = submitJob(Cluster.entryAddress(0),
                           makeJob("beta", "running", 16, v1::SURPLUS));
  EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Running.id(), v1::STARTED,
                           Milliseconds(5000)));
  constexpr int Callers = 32;
  constexpr int JobsPerCaller = 30;
  std::vector<std::vector<std::string>> IdsByCaller(Callers);
  auto RunOnAllCallers = [](const std::function<void(int)> &Work) {
    std::vector<std::thread> Threads;
    for (int Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back(Work, Caller);
    for (auto &Each : Threads)
      Each.join();
  };
  auto CountTransactions = [&Cluster] {
    return Cluster.platform()
        .record()
        .at("writes")
        .at("commit")
        .as_number()
        .to_int64();
  };
  RunOnAllCallers([&](int Caller) {
    for (int Job = 0; Job < JobsPerCaller; ++Job) {
      auto Key = std::to_string(Caller) + "-" + std::to_string(Job);
      auto Answer = postJob(Cluster.entryAddress(Caller % 2),
                            makeJob("beta", Key, 16, v1::SURPLUS));
      if (Answer.Status == 201)
        IdsByCaller[static_cast<std::size_t>(Caller)].push_back(
            parseReport(Answer.Body).id());
    }
  });
  const auto TransactionsBefore = CountTransactions();
  const auto Begin = Clock::now();
  std::atomic<int> CancelledJobs{0};
  RunOnAllCallers([&](int Caller) {
    for (const auto &Id : IdsByCaller[static_cast<std::size_t>(Caller)])
      CancelledJobs += HttpTestClient(Cluster.entryAddress(Caller % 2))
                                   .call("DELETE", "/v1/jobs/" + Id)
                                   .Status == 200
                           ? 1
                           : 0;
  });
  const auto DurationMs =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - Begin).count();
  const auto TransactionCount = CountTransactions() - TransactionsBefore;
  std::cout << "cancelled " << CancelledJobs << " jobs in " << DurationMs
            << " ms with " << TransactionCount << " transactions\n";
  EXPECT_EQ(CancelledJobs, Callers * JobsPerCaller);
  EXPECT_LE(TransactionCount, Callers * JobsPerCaller / 4);
  auto Answer = HttpTestClient(Cluster.entryAddress(0))
                    .call("GET", "/v1/jobs?account=beta");
  v1::JobList List;
  ASSERT_TRUE(parseJson(Answer.Body, List).has_value());
  int UncancelledJobs = 0;
  for (const auto &Job : List.jobs())
    UncancelledJobs += Job.state() == v1::JOB_CANCELLED ? 0 : 1;
  EXPECT_EQ(UncancelledJobs, 1); // The running job was not cancelled.
}

// Guards against a planned stop of the scheduler that interrupts running gangs.
TEST(GangTest, runningGangsSurviveAPlannedStopOfTheScheduler) {
  auto Cluster = TestCluster::start(smallClusterOptions());
  controlWorkers(Cluster, 4, R"({"task_run_ms":8000})");
  auto Report = submitJob(Cluster.entryAddress(0),
                          makeJob("beta", "handed-over", 16, v1::SURPLUS));
  EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Report.id(), v1::STARTED,
                           Milliseconds(5000)));
  const auto Scheduler = findSchedulerHost(Cluster);
  EXPECT_EQ(Cluster.stop(Scheduler, Milliseconds(10000)), 0);
  const auto RemainingHost = Cluster.entryAddress(1 - Scheduler);
  EXPECT_TRUE(reachesState(RemainingHost, Report.id(), v1::SUCCEEDED,
                           Milliseconds(15000)));
  EXPECT_EQ(fetchReport(RemainingHost, Report.id()).attempt(), 1U);
}

// Guards against gangs that run with only part of their accelerators,
// accelerators that two gangs use at once, and jobs that stay reserved for
// ever. They can follow when the scheduler is killed, is suspended or loses its
// connection to the store between any two steps of a gang's start or stop.
TEST(GangTest, faultsOfTheSchedulerLeaveNoPartialGang) {
  const char *GivenSeed = std::getenv("JAYRAMP_SEED");
  const auto Seed =
      GivenSeed ? std::strtoul(GivenSeed, nullptr, 10) : std::random_device{}();
  std::cout << "JAYRAMP_SEED=" << Seed << "\n";
  std::mt19937 Random(static_cast<std::mt19937::result_type>(Seed));
  auto RandomBetween = [&Random](int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(Random);
  };
  auto ClusterOptions = smallClusterOptions();
  ClusterOptions.EntryHosts = 3;
  ClusterOptions.Workers = 6;
  auto Cluster = TestCluster::start(ClusterOptions);
  std::vector<std::unique_ptr<TcpForwarder>> StoreForwarders;
  for (std::size_t Host = 0; Host < Cluster.entryHostCount(); ++Host) {
    StoreForwarders.push_back(
        std::make_unique<TcpForwarder>(Cluster.platformAddress()));
    routeTableServiceThrough(Cluster, Host, *StoreForwarders.back());
  }
  // Slow workers prolong the start of a gang, so that faults occur during it.
  // Tasks run for longer than a surplus lease.
  for (int Worker = 0; Worker < 6; ++Worker)
    Cluster.workers().control(R"({"task_run_ms":5000,"delay_ms":)" +
                                  std::to_string(RandomBetween(0, 250)) + "}",
                              Worker);
  Cluster.workers().control(R"({"ignore_checkpoint":true})", 1);
  std::map<std::string, std::uint32_t> AcceleratorsByJob;
  auto SubmitJobs = [&](int Round) {
    for (int Job = 0; Job < 3; ++Job) {
      const bool Urgent = Job == 2;
      const auto Size = static_cast<std::uint32_t>(RandomBetween(5, 12));
      auto Next = makeJob(Urgent ? "alpha" : "beta",
                          std::to_string(Round) + "-" + std::to_string(Job),
                          Size, Urgent ? v1::URGENT : v1::SURPLUS);
      becomesTrueWithin(Milliseconds(20000), [&] {
        try {
          auto Answer = postJob(Cluster.entryAddress(static_cast<std::size_t>(
                                    RandomBetween(0, 2))),
                                Next);
          if (Answer.Status != 200 && Answer.Status != 201)
            return false;
          AcceleratorsByJob[parseReport(Answer.Body).id()] = Size;
          return true;
        } catch (const std::exception &) {
          return false; // The entry host is dead or suspended.
        }
      });
    }
  };
  for (int Round = 0; Round < 6; ++Round) {
    std::cout << "round " << Round << ": " << std::flush;
    SubmitJobs(Round);
    std::this_thread::sleep_for(Milliseconds(RandomBetween(0, 1000)));
    const auto Scheduler = findSchedulerHost(Cluster);
    switch (RandomBetween(0, 4)) {
    case 0:
      std::cout << "kill entry host " << Scheduler << std::endl;
      Cluster.kill(Scheduler);
      std::this_thread::sleep_for(Milliseconds(RandomBetween(0, 4000)));
      Cluster.startEntry(Scheduler);
      break;
    case 1:
      std::cout << "suspend entry host " << Scheduler << std::endl;
      Cluster.suspend(Scheduler);
      std::this_thread::sleep_for(Milliseconds(RandomBetween(500, 7000)));
      Cluster.resume(Scheduler);
      break;
    case 2:
      std::cout << "disconnect entry host " << Scheduler << " from the store"
                << std::endl;
      StoreForwarders[Scheduler]->setDisconnected(true);
      std::this_thread::sleep_for(Milliseconds(RandomBetween(500, 7000)));
      StoreForwarders[Scheduler]->setDisconnected(false);
      break;
    case 3: {
      const int Worker = RandomBetween(0, 5);
      std::cout << "freeze worker " << Worker << std::endl;
      Cluster.workers().control(R"({"freeze":true})", Worker);
      std::this_thread::sleep_for(Milliseconds(RandomBetween(500, 7000)));
      Cluster.workers().control(R"({"freeze":false})", Worker);
      break;
    }
    default:
      std::cout << "store down" << std::endl;
      Cluster.platform().control(R"({"down":true})");
      std::this_thread::sleep_for(Milliseconds(RandomBetween(500, 5000)));
      Cluster.platform().control(R"({"down":false})");
      break;
    }
    std::this_thread::sleep_for(Milliseconds(RandomBetween(0, 3000)));
  }
  EXPECT_EQ(AcceleratorsByJob.size(), 18U);
  for (std::size_t Host = 0; Host < 3; ++Host)
    Cluster.waitUntilReady(Host, Milliseconds(20000));
  for (const auto &[Id, Size] : AcceleratorsByJob)
    EXPECT_TRUE(reachesState(Cluster.entryAddress(0), Id, v1::SUCCEEDED,
                             Milliseconds(60000)))
        << fetchReport(Cluster.entryAddress(0), Id).ShortDebugString();
  auto Record = GangExecutionRecord::read(Cluster.workers(), 6);
  // Urgent jobs use the guarantee of their account and have the longer lease of
  // 10 s; surplus jobs have one of 4 s.
  EXPECT_EQ(Record.violations(AcceleratorsByJob,
                              Milliseconds(10000) + LeaseTolerance),
            "");
  std::map<std::string, std::uint32_t> SurplusJobs;
  for (const auto &[Id, Size] : AcceleratorsByJob)
    if (fetchReport(Cluster.entryAddress(0), Id).priority() == v1::SURPLUS)
      SurplusJobs[Id] = Size;
  EXPECT_EQ(Record.violations(SurplusJobs, Milliseconds(4000) + LeaseTolerance),
            "");
  std::cout << "longest run with part of the accelerators: "
            << Record.longestPartialRunMs() << " ms\n";
  for (std::size_t Host = 0; Host < 3; ++Host)
    if (::testing::Test::HasFailure())
      std::cout << "--- log of entry host " << Host << "\n"
                << Cluster.log(Host).substr(0, 60000) << "\n";
}

} // namespace
} // namespace jayramp
