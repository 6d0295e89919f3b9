#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/OpenLoopLoad.h"
#include "EndToEnd/RequestCaller.h"
#include "EndToEnd/TestCluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <mutex>

namespace jayramp {
namespace {

constexpr std::size_t EntryHostCount = 2;
constexpr std::size_t WorkerCount = 4;
constexpr std::size_t SlotsPerWorker = 2;
constexpr Milliseconds RunTime{20};
constexpr double CapacityPerSecond =
    WorkerCount * SlotsPerWorker * 1000.0 / RunTime.count();
constexpr Milliseconds Deadline{400};
constexpr std::size_t ThreadCount = 600;

constexpr Milliseconds PeakBegin{4000};
constexpr Milliseconds PeakEnd{14000};
constexpr Milliseconds RecoveryTime{2000};
constexpr Milliseconds LoadEnd{19000};
// The queue needs this long after the start of the peak until its wait
// estimates match the new load.
constexpr Milliseconds SettlingTime{1000};

constexpr std::array<const char *, 4> Accounts{"a", "b", "c", "d"};
constexpr std::array<double, 4> Shares{0.4, 0.4, 0.1, 0.1};

struct RequestResult {
  double DueMs = 0;
  double SentMs = 0;
  double EndMs = 0;
  std::size_t AccountIndex = 0;
  bool Answered = false;
  bool HasOutcome = false;
};

/// Returns a configuration document with all accounts and \p QueueLimit.
auto renderConfiguration(unsigned QueueLimit) -> std::string {
  std::string Text = R"({"accounts":[)";
  for (std::size_t Index = 0; Index < Accounts.size(); ++Index)
    Text += std::string(Index ? "," : "") + R"({"name":")" + Accounts[Index] +
            R"(","request_share":)" +
            std::to_string(static_cast<int>(Shares[Index] * 1000)) + "}";
  return Text + R"(],"queue_limit":)" + std::to_string(QueueLimit) + "}";
}

/// Returns arrival times at half of the capacity, at five times the capacity
/// from \p Begin to \p End, and at half of it again until \p Last.
auto peakArrivals(std::mt19937 &Random, Milliseconds Begin, Milliseconds End,
                  Milliseconds Last) -> std::vector<std::chrono::microseconds> {
  auto Arrivals =
      poissonArrivals(Random, CapacityPerSecond / 2, Milliseconds(0), Begin);
  auto Peak = poissonArrivals(Random, CapacityPerSecond * 5, Begin, End);
  auto After = poissonArrivals(Random, CapacityPerSecond / 2, End, Last);
  Arrivals.insert(Arrivals.end(), Peak.begin(), Peak.end());
  Arrivals.insert(Arrivals.end(), After.begin(), After.end());
  return Arrivals;
}

/// Sends a request at each arrival time, spread over the accounts and entry
/// hosts. Callers wait at most \p AnswerTimeout for the answer.
auto runLoad(TestCluster &Cluster,
             const std::vector<std::chrono::microseconds> &Arrivals,
             Milliseconds RequestDeadline, Milliseconds AnswerTimeout)
    -> std::vector<RequestResult> {
  std::vector<HttpTestClient> Clients;
  for (std::size_t Thread = 0; Thread < ThreadCount; ++Thread)
    Clients.emplace_back(Cluster.entryAddress(Thread % EntryHostCount));
  std::vector<RequestResult> Results(Arrivals.size());
  TimePoint Start = Clock::now() + Milliseconds(200);
  auto MsSinceStart = [Start](TimePoint At) {
    return std::chrono::duration<double, std::milli>(At - Start).count();
  };
  runOpenLoopLoad(
      Arrivals, ThreadCount, Start,
      [&](std::size_t Thread, std::size_t Index, TimePoint Due) {
        RequestResult &Result = Results[Index];
        Result.AccountIndex = Index % Accounts.size();
        auto Request = makeTestRequest("k" + std::to_string(Index), true,
                                       RunTime, RequestDeadline);
        Request.set_account(Accounts[Result.AccountIndex]);
        Result.DueMs = MsSinceStart(Due);
        Result.SentMs = MsSinceStart(Clock::now());
        auto Outcome = submitRequest(Clients[Thread], Request, AnswerTimeout);
        Result.EndMs = MsSinceStart(Clock::now());
        Result.HasOutcome = Outcome.has_value();
        Result.Answered = Outcome && Outcome->outcome() == v1::ANSWERED;
      });
  return Results;
}

/// Returns the number of requests, of all accounts or only of \p AccountIndex,
/// that were answered from \p From until before \p To.
auto answeredBetween(const std::vector<RequestResult> &Results,
                     Milliseconds From, Milliseconds To,
                     std::size_t AccountIndex = Accounts.size()) -> double {
  return static_cast<double>(std::count_if(
      Results.begin(), Results.end(), [&](const RequestResult &Each) {
        return Each.Answered && Each.EndMs >= From.count() &&
               Each.EndMs < To.count() &&
               (AccountIndex == Accounts.size() ||
                Each.AccountIndex == AccountIndex);
      }));
}

// Guards against a load peak during which the goodput falls below the capacity,
// requests wait beyond their deadline or an account gets less than its share,
// and against overload that continues after the peak has ended.
TEST(LoadPeakTest, peakOfFiveTimesTheCapacityIsServedToTheFull) {
  unsigned Seed = chooseRandomSeed();
  std::mt19937 Random(Seed);
  TestCluster::Options ClusterOptions;
  ClusterOptions.EntryHosts = EntryHostCount;
  ClusterOptions.Workers = WorkerCount;
  ClusterOptions.WorkersPerRack = 1;
  ClusterOptions.WorkerArguments = {"--slots", std::to_string(SlotsPerWorker)};
  ClusterOptions.Configuration = renderConfiguration(1000);
  auto Cluster = TestCluster::start(ClusterOptions);
  auto Arrivals = peakArrivals(Random, PeakBegin, PeakEnd, LoadEnd);
  auto Results = runLoad(Cluster, Arrivals, Deadline, Milliseconds(5000));

  double WindowSeconds = (PeakEnd - PeakBegin - SettlingTime).count() / 1000.0;
  double AnsweredInPeak =
      answeredBetween(Results, PeakBegin + SettlingTime, PeakEnd);
  double GoodputPerSecond = AnsweredInPeak / WindowSeconds;
  double LateRequests = 0;
  double LongestLatencyMs = 0;
  double LargestSendDelayMs = 0;
  int RequestsWithoutOutcome = 0;
  int UnansweredAfterRecovery = 0;
  for (const RequestResult &Each : Results) {
    double LatencyMs = Each.EndMs - Each.SentMs;
    LargestSendDelayMs = std::max(LargestSendDelayMs, Each.SentMs - Each.DueMs);
    LongestLatencyMs = std::max(LongestLatencyMs, LatencyMs);
    LateRequests += LatencyMs > Deadline.count() ? 1 : 0;
    RequestsWithoutOutcome += Each.HasOutcome ? 0 : 1;
    if (Each.DueMs >= (PeakEnd + RecoveryTime).count() && !Each.Answered)
      ++UnansweredAfterRecovery;
  }
  std::cout << "capacity=" << CapacityPerSecond
            << "/s offered=" << CapacityPerSecond * 5
            << "/s goodput=" << GoodputPerSecond << "/s late=" << LateRequests
            << " longest_ms=" << LongestLatencyMs
            << " largest_send_delay_ms=" << LargestSendDelayMs
            << " no_outcome=" << RequestsWithoutOutcome
            << " not_answered_after_recovery=" << UnansweredAfterRecovery
            << std::endl;
  for (std::size_t Index = 0; Index < Accounts.size(); ++Index) {
    double AnsweredShare =
        answeredBetween(Results, PeakBegin + SettlingTime, PeakEnd, Index) /
        std::max(1.0, AnsweredInPeak);
    std::cout << "account=" << Accounts[Index]
              << " guaranteed=" << Shares[Index]
              << " answered_share=" << AnsweredShare << std::endl;
    EXPECT_GE(AnsweredShare, 0.9 * Shares[Index]) << Accounts[Index];
  }
  EXPECT_GE(GoodputPerSecond, 0.9 * CapacityPerSecond);
  EXPECT_EQ(RequestsWithoutOutcome, 0);
  EXPECT_EQ(UnansweredAfterRecovery, 0);
  // The timers of the entry host and of the caller fire a few ms after the
  // deadline.
  EXPECT_LE(LongestLatencyMs, Deadline.count() + 100.0);
}

// Guards against a load that is too low for the test above. In this baseline no
// request is refused early, so the queue grows and workers run requests whose
// callers have already timed out. The goodput must fall then.
TEST(LoadPeakTest, withoutEarlyRefusalThePeakLowersTheGoodput) {
  unsigned Seed = chooseRandomSeed();
  std::mt19937 Random(Seed);
  TestCluster::Options ClusterOptions;
  ClusterOptions.EntryHosts = EntryHostCount;
  ClusterOptions.Workers = WorkerCount;
  ClusterOptions.WorkersPerRack = 1;
  ClusterOptions.WorkerArguments = {"--slots", std::to_string(SlotsPerWorker)};
  ClusterOptions.Configuration = renderConfiguration(100000);
  ClusterOptions.Settings["requests.maximum_queue"] = "100000";
  auto Cluster = TestCluster::start(ClusterOptions);
  constexpr Milliseconds Begin{1000};
  constexpr Milliseconds End{5000};
  auto Arrivals = peakArrivals(Random, Begin, End, End);
  auto Results = runLoad(Cluster, Arrivals, Milliseconds(600000), Deadline);
  double WindowSeconds = (End - Begin - SettlingTime).count() / 1000.0;
  double GoodputPerSecond =
      answeredBetween(Results, Begin + SettlingTime, End) / WindowSeconds;
  std::cout << "baseline_goodput=" << GoodputPerSecond << "/s of "
            << CapacityPerSecond << "/s" << std::endl;
  EXPECT_LT(GoodputPerSecond, 0.9 * CapacityPerSecond);
}

} // namespace
} // namespace jayramp
