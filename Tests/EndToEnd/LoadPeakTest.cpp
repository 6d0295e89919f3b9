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

constexpr std::size_t EntryHosts = 2;
constexpr std::size_t Workers = 4;
constexpr std::size_t SlotsEach = 2;
constexpr Milliseconds Run{20};
constexpr double Capacity = Workers * SlotsEach * 1000.0 / Run.count();
constexpr Milliseconds Deadline{400};
constexpr std::size_t Threads = 600;

constexpr Milliseconds PeakBegin{4000};
constexpr Milliseconds PeakEnd{14000};
constexpr Milliseconds RecoveryTime{2000};
constexpr Milliseconds LoadEnd{19000};
// The estimates of the queue need this long to follow the jump.
constexpr Milliseconds Settling{1000};

constexpr std::array<const char *, 4> Accounts{"a", "b", "c", "d"};
constexpr std::array<double, 4> Shares{0.4, 0.4, 0.1, 0.1};

struct Sample {
  double DueMs = 0;
  double SentMs = 0;
  double EndMs = 0;
  std::size_t Account = 0;
  bool Answered = false;
  bool HasOutcome = false;
};

auto configuration(unsigned QueueLimit) -> std::string {
  std::string Text = R"({"accounts":[)";
  for (std::size_t Index = 0; Index < Accounts.size(); ++Index)
    Text += std::string(Index ? "," : "") + R"({"name":")" + Accounts[Index] +
            R"(","request_share":)" +
            std::to_string(static_cast<int>(Shares[Index] * 1000)) + "}";
  return Text + R"(],"queue_limit":)" + std::to_string(QueueLimit) + "}";
}

/// Half of the capacity, five times the capacity from \p Begin to \p End, then
/// half of it until \p Last.
auto peakArrivals(std::mt19937 &Random, Milliseconds Begin, Milliseconds End,
                  Milliseconds Last) -> std::vector<std::chrono::microseconds> {
  auto All = poissonArrivals(Random, Capacity / 2, Milliseconds(0), Begin);
  auto Peak = poissonArrivals(Random, Capacity * 5, Begin, End);
  auto After = poissonArrivals(Random, Capacity / 2, End, Last);
  All.insert(All.end(), Peak.begin(), Peak.end());
  All.insert(All.end(), After.begin(), After.end());
  return All;
}

/// Callers wait at most \p Patience for the answer.
auto runLoad(TestCluster &Cluster,
             const std::vector<std::chrono::microseconds> &Arrivals,
             Milliseconds RequestDeadline, Milliseconds Patience)
    -> std::vector<Sample> {
  std::vector<HttpTestClient> Clients;
  for (std::size_t Thread = 0; Thread < Threads; ++Thread)
    Clients.emplace_back(Cluster.entryAddress(Thread % EntryHosts));
  std::vector<Sample> Samples(Arrivals.size());
  TimePoint Start = Clock::now() + Milliseconds(200);
  auto Since = [Start](TimePoint At) {
    return std::chrono::duration<double, std::milli>(At - Start).count();
  };
  runOpenLoopLoad(Arrivals, Threads, Start,
                  [&](std::size_t Thread, std::size_t Index, TimePoint Due) {
                    Sample &Target = Samples[Index];
                    Target.Account = Index % Accounts.size();
                    auto Request = makeTestRequest("k" + std::to_string(Index),
                                                   true, Run, RequestDeadline);
                    Request.set_account(Accounts[Target.Account]);
                    Target.DueMs = Since(Due);
                    Target.SentMs = Since(Clock::now());
                    auto Outcome =
                        submitRequest(Clients[Thread], Request, Patience);
                    Target.EndMs = Since(Clock::now());
                    Target.HasOutcome = Outcome.has_value();
                    Target.Answered =
                        Outcome && Outcome->outcome() == v1::ANSWERED;
                  });
  return Samples;
}

auto answeredBetween(const std::vector<Sample> &Samples, Milliseconds From,
                     Milliseconds To, std::size_t Account = Accounts.size())
    -> double {
  return static_cast<double>(
      std::count_if(Samples.begin(), Samples.end(), [&](const Sample &Each) {
        return Each.Answered && Each.EndMs >= From.count() &&
               Each.EndMs < To.count() &&
               (Account == Accounts.size() || Each.Account == Account);
      }));
}

// Guards against a load peak that lowers the useful work, lets requests wait in
// vain, takes accounts' shares away or outlasts its end.
TEST(LoadPeakTest, peakOfFiveTimesTheCapacityIsServedToTheFull) {
  unsigned Seed = chooseRandomSeed();
  std::mt19937 Random(Seed);
  TestCluster::Options Wanted;
  Wanted.EntryHosts = EntryHosts;
  Wanted.Workers = Workers;
  Wanted.WorkersPerRack = 1;
  Wanted.WorkerArguments = {"--slots", std::to_string(SlotsEach)};
  Wanted.Configuration = configuration(1000);
  auto Cluster = TestCluster::start(Wanted);
  auto Arrivals = peakArrivals(Random, PeakBegin, PeakEnd, LoadEnd);
  auto Samples = runLoad(Cluster, Arrivals, Deadline, Milliseconds(5000));

  double Window = (PeakEnd - PeakBegin - Settling).count() / 1000.0;
  double All = answeredBetween(Samples, PeakBegin + Settling, PeakEnd);
  double Goodput = All / Window;
  double Late = 0;
  double LongestMs = 0;
  double SendDelayMs = 0;
  int NoOutcome = 0;
  int NotRecovered = 0;
  for (const Sample &Each : Samples) {
    double Taken = Each.EndMs - Each.SentMs;
    SendDelayMs = std::max(SendDelayMs, Each.SentMs - Each.DueMs);
    LongestMs = std::max(LongestMs, Taken);
    Late += Taken > Deadline.count() ? 1 : 0;
    NoOutcome += Each.HasOutcome ? 0 : 1;
    if (Each.DueMs >= (PeakEnd + RecoveryTime).count() && !Each.Answered)
      ++NotRecovered;
  }
  std::cout << "capacity=" << Capacity << "/s offered=" << Capacity * 5
            << "/s goodput=" << Goodput << "/s late=" << Late
            << " longest_ms=" << LongestMs
            << " largest_send_delay_ms=" << SendDelayMs
            << " no_outcome=" << NoOutcome
            << " not_answered_after_recovery=" << NotRecovered << std::endl;
  for (std::size_t Index = 0; Index < Accounts.size(); ++Index) {
    double Share =
        answeredBetween(Samples, PeakBegin + Settling, PeakEnd, Index) /
        std::max(1.0, All);
    std::cout << "account=" << Accounts[Index]
              << " guaranteed=" << Shares[Index] << " held=" << Share
              << std::endl;
    EXPECT_GE(Share, 0.9 * Shares[Index]) << Accounts[Index];
  }
  EXPECT_GE(Goodput, 0.9 * Capacity);
  EXPECT_EQ(NoOutcome, 0);
  EXPECT_EQ(NotRecovered, 0);
  // Timers of the entry host and of the caller end a few ms after the deadline.
  EXPECT_LE(LongestMs, Deadline.count() + 100.0);
}

// The baseline: without early refusal the queue grows and work is done for
// callers that are gone. It shows that the load above needs the refusals.
TEST(LoadPeakTest, withoutEarlyRefusalThePeakWastesTheCapacity) {
  unsigned Seed = chooseRandomSeed();
  std::mt19937 Random(Seed);
  TestCluster::Options Wanted;
  Wanted.EntryHosts = EntryHosts;
  Wanted.Workers = Workers;
  Wanted.WorkersPerRack = 1;
  Wanted.WorkerArguments = {"--slots", std::to_string(SlotsEach)};
  Wanted.Configuration = configuration(100000);
  Wanted.Settings["requests.maximum_queue"] = "100000";
  auto Cluster = TestCluster::start(Wanted);
  constexpr Milliseconds Begin{1000};
  constexpr Milliseconds End{5000};
  auto Arrivals = peakArrivals(Random, Begin, End, End);
  auto Samples = runLoad(Cluster, Arrivals, Milliseconds(600000), Deadline);
  double Window = (End - Begin - Settling).count() / 1000.0;
  double Goodput = answeredBetween(Samples, Begin + Settling, End) / Window;
  std::cout << "baseline_goodput=" << Goodput << "/s of " << Capacity << "/s"
            << std::endl;
  EXPECT_LT(Goodput, 0.9 * Capacity);
}

} // namespace
} // namespace jayramp
