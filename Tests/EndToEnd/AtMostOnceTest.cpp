#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/OpenLoopLoad.h"
#include "EndToEnd/RequestCaller.h"
#include "EndToEnd/TestCluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace jayramp {
namespace {

constexpr std::size_t EntryHostCount = 4;
constexpr std::size_t WorkerCount = 6;
constexpr int RequestCount = 10000;
constexpr int CallerCount = 96;
// Requests are spread over this duration so that every fault meets some of
// them.
constexpr Milliseconds LoadDuration{32000};
constexpr Milliseconds Deadline{2000};
constexpr Milliseconds CallTimeout{2600};
// A caller stops repeating a key without a final outcome after this time.
constexpr Milliseconds MaxTimePerKey{20000};
// For every tenth key a caller also sends an idempotent request under a key of
// its own, "naive-N". These requests are the control group.
constexpr int IdempotentKeyInterval = 10;

/// Outcomes that the caller of one key received.
struct KeyHistory {
  std::optional<v1::RequestOutcome> LastOutcome;
  int CallCount = 0;
  int CallsWithoutOutcome = 0;
  bool HasFinalOutcome = false;
};

/// Caller threads that together submit all keys, spread evenly over
/// LoadDuration.
class CallerPool {
public:
  CallerPool(TestCluster &Cluster, unsigned Seed)
      : Cluster(Cluster), Seed(Seed) {
    for (std::size_t Host = 0; Host < EntryHostCount; ++Host)
      Addresses.push_back(Cluster.entryAddress(Host));
    NonIdempotentHistories.resize(RequestCount);
    IdempotentHistories.resize(RequestCount / IdempotentKeyInterval);
    Start = Clock::now();
    for (int Caller = 0; Caller < CallerCount; ++Caller)
      Threads.emplace_back([this, Caller] { runCaller(Caller); });
  }

  auto allCallersFinished() const -> bool { return ActiveCallers.load() == 0; }
  auto join() -> void {
    for (auto &Thread : Threads)
      Thread.join();
  }

  std::vector<KeyHistory> NonIdempotentHistories;
  std::vector<KeyHistory> IdempotentHistories;
  std::atomic<int> KeysOverTimeLimit{0};

private:
  auto runCaller(int Caller) -> void {
    std::mt19937 Random(Seed + static_cast<unsigned>(Caller) + 1);
    std::vector<HttpTestClient> Clients;
    for (const std::string &Address : Addresses)
      Clients.emplace_back(Address);
    while (true) {
      int KeyIndex = NextKeyIndex.fetch_add(1);
      if (KeyIndex >= RequestCount)
        break;
      std::this_thread::sleep_until(Start +
                                    LoadDuration * KeyIndex / RequestCount);
      NonIdempotentHistories[KeyIndex] = callUntilFinalOutcome(
          Clients, Random, "once-" + std::to_string(KeyIndex), false);
      if (KeyIndex % IdempotentKeyInterval == 0)
        IdempotentHistories[KeyIndex / IdempotentKeyInterval] =
            callUntilFinalOutcome(Clients, Random,
                                  "naive-" + std::to_string(KeyIndex), true);
    }
    --ActiveCallers;
  }

  /// Submits \p Key and repeats it through other entry hosts until its outcome
  /// is final: answered, failed, twice unknown, or MaxTimePerKey has passed.
  auto callUntilFinalOutcome(std::vector<HttpTestClient> &Clients,
                             std::mt19937 &Random, const std::string &Key,
                             bool Idempotent) -> KeyHistory {
    KeyHistory History;
    auto Request = makeTestRequest(Key, Idempotent,
                                   Milliseconds(5 + Random() % 20), Deadline);
    TimePoint GiveUpAt = Clock::now() + MaxTimePerKey;
    std::size_t Host = Random() % EntryHostCount;
    int UnknownOutcomesLeft = 2;
    while (true) {
      auto Outcome = submitRequest(Clients[Host], Request, CallTimeout);
      ++History.CallCount;
      Host = (Host + 1 + Random() % (EntryHostCount - 1)) % EntryHostCount;
      if (Outcome)
        History.LastOutcome = Outcome;
      else
        ++History.CallsWithoutOutcome;
      auto Result = Outcome ? Outcome->outcome() : v1::OUTCOME_UNSPECIFIED;
      if (Result == v1::ANSWERED || Result == v1::FAILED) {
        // One caller in twenty repeats a key that already has an answer.
        if (History.HasFinalOutcome || Random() % 20 != 0)
          return History;
        History.HasFinalOutcome = true;
        continue;
      }
      if (Result == v1::UNKNOWN && --UnknownOutcomesLeft == 0)
        return History;
      if (Clock::now() > GiveUpAt) {
        ++KeysOverTimeLimit;
        return History;
      }
      std::this_thread::sleep_for(Milliseconds(20 + Random() % 60));
    }
  }

  TestCluster &Cluster;
  const unsigned Seed;
  TimePoint Start;
  std::vector<std::string> Addresses;
  std::atomic<int> NextKeyIndex{0};
  std::atomic<int> ActiveCallers{CallerCount};
  std::vector<std::thread> Threads;
};

/// Injects faults in a fixed order, at random places and for random durations.
/// Must be used from the main thread, because that one starts the processes.
class FaultInjector {
public:
  FaultInjector(TestCluster &Cluster, unsigned Seed)
      : Cluster(Cluster), Random(Seed) {}

  auto injectNextFault() -> void {
    switch (NextFault++ % 8) {
    case 0:
      return killAndRestart(randomHost(), randomDuration(300, 1500));
    case 1:
      return injectWorkerFault(R"({"lose_answers":0.3})",
                               R"({"lose_answers":0})");
    case 2:
      return freezeAndThaw(randomHost(), randomDuration(500, 1500));
    case 3:
      return injectWorkerFault(R"({"silent":true})", R"({"silent":false})");
    case 4:
      // Longer than the silence limit of 2.5 s, so the host is removed from the
      // membership view.
      return freezeAndThaw(randomHost(), randomDuration(3500, 5000));
    case 5:
      return injectWorkerFault(R"({"cut_answers":0.3})",
                               R"({"cut_answers":0})");
    case 6:
      Cluster.platform().control(R"({"down":true})");
      std::this_thread::sleep_for(randomDuration(500, 1500));
      // The membership view cannot record the host's loss while the table
      // service is down.
      Cluster.kill(KilledHost = randomHost());
      std::this_thread::sleep_for(randomDuration(1000, 2000));
      Cluster.startEntry(KilledHost);
      std::this_thread::sleep_for(randomDuration(200, 800));
      return Cluster.platform().control(R"({"down":false})");
    default:
      return std::this_thread::sleep_for(randomDuration(500, 1000));
    }
  }

private:
  auto randomDuration(int MinMs, int MaxMs) -> Milliseconds {
    return Milliseconds(MinMs + static_cast<int>(Random() % (MaxMs - MinMs)));
  }
  auto randomHost() -> std::size_t { return Random() % EntryHostCount; }

  auto killAndRestart(std::size_t Host, Milliseconds Pause) -> void {
    Cluster.kill(Host);
    std::this_thread::sleep_for(Pause);
    Cluster.startEntry(Host);
    std::this_thread::sleep_for(randomDuration(500, 1500));
  }
  auto freezeAndThaw(std::size_t Host, Milliseconds Pause) -> void {
    Cluster.suspend(Host);
    std::this_thread::sleep_for(Pause);
    Cluster.resume(Host);
    std::this_thread::sleep_for(randomDuration(500, 1000));
  }
  auto injectWorkerFault(const std::string &StartCommand,
                         const std::string &StopCommand) -> void {
    int Worker = static_cast<int>(Random() % WorkerCount);
    Cluster.workers().control(StartCommand, Worker);
    std::this_thread::sleep_for(randomDuration(700, 1500));
    Cluster.workers().control(StopCommand, Worker);
  }

  TestCluster &Cluster;
  std::mt19937 Random;
  int NextFault = 0;
  std::size_t KilledHost = 0;
};

// Guards against non-idempotent requests that run twice, requests that ran
// although their last outcome is NOT_RUN, and callers without an outcome. The
// faults are killed and paused processes, broken and unresponsive connections,
// lost answers and an unavailable table service. The control group sends the
// same calls as idempotent requests; some of these must run twice, which shows
// that the faults are severe enough to cause repeated runs.
TEST(AtMostOnceTest, noKeyRunsTwiceUnderFailures) {
  unsigned Seed = chooseRandomSeed();
  RecordProperty("seed", std::to_string(Seed));
  TestCluster::Options ClusterOptions;
  ClusterOptions.EntryHosts = EntryHostCount;
  ClusterOptions.Workers = WorkerCount;
  ClusterOptions.WorkersPerRack = 1;
  ClusterOptions.Settings["workers.attempt_timeout_ms"] = "1000";
  auto Cluster = TestCluster::start(ClusterOptions);
  TimePoint Begin = Clock::now();
  CallerPool Pool(Cluster, Seed);
  FaultInjector Injector(Cluster, Seed);
  while (!Pool.allCallersFinished() && Clock::now() < Begin + LoadDuration)
    Injector.injectNextFault();
  Pool.join();
  auto DurationMs =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - Begin).count();

  auto Executions = countExecutionsByKey(Cluster, WorkerCount);
  std::map<std::string, int> OutcomeCounts;
  int KeysRunTwice = 0;
  int NotRunKeysThatRan = 0;
  int KeysWithoutOutcome = 0;
  int IdempotentKeysRunTwice = 0;
  int RepeatedCalls = 0;
  int AnsweredKeys = 0;
  int CallsWithoutOutcome = 0;
  for (int KeyIndex = 0; KeyIndex < RequestCount; ++KeyIndex) {
    std::string Key = "once-" + std::to_string(KeyIndex);
    const KeyHistory &History = Pool.NonIdempotentHistories[KeyIndex];
    int RunCount = Executions[Key];
    RepeatedCalls += History.CallCount - 1;
    CallsWithoutOutcome += History.CallsWithoutOutcome;
    if (RunCount > 1 && ++KeysRunTwice <= 5)
      ADD_FAILURE() << Key << " ran " << RunCount << " times";
    if (!History.LastOutcome) {
      if (++KeysWithoutOutcome <= 5)
        ADD_FAILURE() << Key << " has no outcome after " << History.CallCount
                      << " calls";
      continue;
    }
    const auto &Outcome = *History.LastOutcome;
    ++OutcomeCounts[v1::Outcome_Name(Outcome.outcome()) + " " +
                    (Outcome.outcome() == v1::ANSWERED
                         ? ""
                         : v1::Reason_Name(Outcome.reason()))];
    if (Outcome.outcome() == v1::NOT_RUN && RunCount > 0 &&
        ++NotRunKeysThatRan <= 5)
      ADD_FAILURE() << Key << " ran, but its last outcome is NOT_RUN: "
                    << Outcome.detail();
    if (Outcome.outcome() == v1::ANSWERED) {
      ++AnsweredKeys;
      EXPECT_EQ(RunCount, 1) << Key << " was answered";
    }
  }
  for (int KeyIndex = 0; KeyIndex < RequestCount;
       KeyIndex += IdempotentKeyInterval)
    IdempotentKeysRunTwice +=
        Executions["naive-" + std::to_string(KeyIndex)] > 1 ? 1 : 0;
  for (const auto &[Outcome, Count] : OutcomeCounts)
    std::cout << "last_outcome=" << Outcome << " count=" << Count << "\n";
  std::cout << "time_ms=" << DurationMs << " repeated_calls=" << RepeatedCalls
            << " calls_without_outcome=" << CallsWithoutOutcome
            << " keys_run_twice=" << KeysRunTwice
            << " not_run_keys_that_ran=" << NotRunKeysThatRan
            << " keys_without_outcome=" << KeysWithoutOutcome
            << " keys_over_time_limit=" << Pool.KeysOverTimeLimit
            << " idempotent_keys_run_twice=" << IdempotentKeysRunTwice << " of "
            << RequestCount / IdempotentKeyInterval << std::endl;
  // Without this check a system that runs no request would pass.
  EXPECT_GE(AnsweredKeys, RequestCount / 2);
  EXPECT_EQ(KeysRunTwice, 0);
  EXPECT_EQ(NotRunKeysThatRan, 0);
  EXPECT_EQ(KeysWithoutOutcome, 0);
  EXPECT_GT(IdempotentKeysRunTwice, 0)
      << "no idempotent request ran twice: the faults are too mild to test at "
         "most once";
  EXPECT_LT(DurationMs, 60000);
}

} // namespace
} // namespace jayramp
