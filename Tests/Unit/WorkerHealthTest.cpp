#include "Requests/WorkerHealth.h"
#include "Requests/SlotLedger.h"

#include <gtest/gtest.h>

#include <iostream>
#include <queue>

namespace jayramp {
namespace {

using CircuitState = WorkerHealth::CircuitState;
const TimePoint Start = TimePoint() + std::chrono::hours(1);

// Guards against traffic to a failing worker, and against sending the full load
// at once to a worker that has just recovered.
TEST(WorkerHealthTest, circuitOpensOnFailuresAndClosesByTrials) {
  auto Health = WorkerHealth::make({}).value();
  for (int Attempt = 0; Attempt < 5; ++Attempt)
    Health.recordFailure("w", Start);
  EXPECT_EQ(Health.circuitState("w", Start), CircuitState::Open);
  EXPECT_EQ(Health.trafficShare("w", Start), 0.0);
  TimePoint TrialDue = Start + Milliseconds(1'000);
  EXPECT_EQ(Health.circuitState("w", TrialDue), CircuitState::HalfOpen);
  EXPECT_GT(Health.trafficShare("w", TrialDue), 0.0);
  Health.recordStart("w", TrialDue);
  EXPECT_EQ(Health.trafficShare("w", TrialDue), 0.0);
  Health.recordFailure("w", TrialDue);
  EXPECT_EQ(Health.circuitState("w", TrialDue + Milliseconds(1'999)),
            CircuitState::Open);
  TrialDue += Milliseconds(2'000);
  Health.recordStart("w", TrialDue);
  double LastShare = 0.0;
  while (Health.circuitState("w", TrialDue) != CircuitState::Closed) {
    Health.recordSuccess("w", Milliseconds(10), TrialDue);
    EXPECT_GT(Health.trafficShare("w", TrialDue), LastShare);
    LastShare = Health.trafficShare("w", TrialDue);
  }
  EXPECT_EQ(LastShare, 1.0);
}

// Guards against traffic to a worker that fails half of its attempts but never
// several in a row, and against a late answer closing the circuit.
TEST(WorkerHealthTest, circuitOpensByFailureRateAndIgnoresLateAnswers) {
  auto Health = WorkerHealth::make({}).value();
  for (int Attempt = 0; Attempt < 20; ++Attempt)
    if (Attempt % 2 == 0)
      Health.recordSuccess("w", Milliseconds(10), Start);
    else
      Health.recordFailure("w", Start);
  EXPECT_EQ(Health.circuitState("w", Start), CircuitState::Open);
  Health.recordSuccess("w", Milliseconds(10), Start);
  EXPECT_EQ(Health.circuitState("w", Start), CircuitState::Open);
}

// Guards against ejecting so many workers that the rest are overloaded.
TEST(WorkerHealthTest, ejectsAtMostHalfOfTheWorkers) {
  auto Health = WorkerHealth::make({}).value();
  for (int Worker = 0; Worker < 10; ++Worker)
    for (int Answer = 0; Answer < 20; ++Answer)
      Health.recordSuccess("w" + std::to_string(Worker),
                           Milliseconds(Worker < 6 ? 30 : 500 + Worker), Start);
  EXPECT_EQ(Health.ejectOutliers(Start).size(), 4U);
  EXPECT_TRUE(Health.ejectOutliers(Start).empty());
  // Two of the remaining six become slow: only one more may be ejected.
  for (int Worker = 0; Worker < 2; ++Worker)
    for (int Answer = 0; Answer < 50; ++Answer)
      Health.recordSuccess("w" + std::to_string(Worker), Milliseconds(900),
                           Start);
  EXPECT_EQ(Health.ejectOutliers(Start).size(), 1U);
}

/// Returns the share of 10,000 requests that a worker failing within 1 ms
/// receives, next to nine workers that answer in 50 ms.
auto shareOfFailingWorker(bool UseHealth) -> double {
  auto Health = WorkerHealth::make({}).value();
  auto Ledger = SlotLedger::make({}).value();
  for (int Worker = 0; Worker < 10; ++Worker) {
    std::string Name = "w" + std::to_string(Worker);
    Ledger.addWorker(Name, Name);
    Ledger.applyStatus({Name, 8, 0, false, Start}, Start);
  }
  using End = std::pair<TimePoint, std::string>;
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
  int SentToFailing = 0;
  TimePoint Now = Start;
  for (int Request = 0; Request < 10'000; ++Request) {
    Now += Milliseconds(1);
    while (!Ends.empty() && Ends.top().first <= Now) {
      auto Grant = Ledger.findGrant(Ends.top().second);
      bool Failed = Grant->Worker == "w0";
      Ledger.release(Grant->GrantId,
                     Failed ? std::nullopt : std::optional(Milliseconds(50)));
      if (Failed)
        Health.recordFailure(Grant->Worker, Now);
      else
        Health.recordSuccess(Grant->Worker, Milliseconds(50), Now);
      Ends.pop();
    }
    std::string Id = std::to_string(Request);
    auto Decision = Ledger.grant(
        {Id, "h", "h", WorkClass::Short},
        [&](std::string_view Worker) {
          return UseHealth ? Health.trafficShare(Worker, Now) : 1.0;
        },
        "", Now);
    const auto *Grant = std::get_if<SlotGrant>(&Decision);
    if (!Grant)
      continue;
    Health.recordStart(Grant->Worker, Now);
    SentToFailing += Grant->Worker == "w0" ? 1 : 0;
    Ends.emplace(Now + Milliseconds(Grant->Worker == "w0" ? 1 : 50), Id);
  }
  return SentToFailing / 10'000.0;
}

// Guards against a worker that fails every request quickly and attracts traffic
// because it looks idle, which happens without WorkerHealth.
TEST(WorkerHealthTest, quicklyFailingWorkerAttractsNoTraffic) {
  double WithoutHealth = shareOfFailingWorker(false);
  double Share = shareOfFailingWorker(true);
  std::cout << "share of the failing worker: " << Share << ", without health "
            << WithoutHealth << "\n";
  EXPECT_GT(WithoutHealth, 0.1);
  EXPECT_LT(Share, 0.005);
}

} // namespace
} // namespace jayramp
