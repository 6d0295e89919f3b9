// Real entry hosts through outages of the whole store. JAYRAMP_SEED repeats a
// run; README.md names the other variables.
#include "StageTest.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace jayramp::platform_test {
namespace {

/// From the end of the traffic until all jobs are completed.
constexpr std::int64_t CompletionLimitMs = 25000;
constexpr unsigned ClientCount = 3;
/// Longer than bounds.evacuate-ms.
constexpr std::int64_t ClosedZoneMs = 9000;
constexpr unsigned FillersPerRack = 2;
/// So long that a gang that waits for a rack does so until after the outage.
constexpr std::int64_t RoundFillerMs = 28000;

class OutageTest : public StageTest {
protected:
  /// Keeps two workers of each rack busy, so that no rack holds a wide gang.
  auto fillRacks(unsigned Round, std::int64_t WorkMs) -> void {
    for (unsigned Rack = 0; Rack < OutageStage::RackCount; ++Rack)
      submit(JobPlan::rackFiller(
          jobId(0, 1 + Round * OutageStage::RackCount + Rack),
          OutageStage::rackName(Rack), FillersPerRack, WorkMs));
  }

  /// A host may reject jobs for a moment after an outage, so the client submits
  /// another gang after each rejection.
  auto submitWideGang() -> void {
    bool IsAccepted = false;
    for (unsigned Attempt = 1; !IsAccepted && Attempt <= 20; ++Attempt) {
      IsAccepted =
          Stage->jobs().submit(JobPlan::wideGang(jobId(1, Attempt), 2000),
                               Stage->callers(), NextCaller++);
      Stage->run(100);
    }
    ASSERT_TRUE(IsAccepted);
  }

  auto runTraffic(unsigned Round, std::int64_t DurationMs) -> void {
    std::vector<Client> Clients;
    for (std::uint64_t Number = 1; Number <= ClientCount; ++Number)
      Clients.push_back(sender(Round * ClientCount + Number, RandomJobs));
    runClients(Clients, [&] { Stage->run(DurationMs); });
  }
};

// Guards against a wide gang that starves for a rack beside idle workers when
// it arrives just after an outage of the store.
TEST_F(OutageTest, gangStarvesForARackAfterAStoreOutage) {
  ASSERT_NO_FATAL_FAILURE(start());
  ASSERT_NO_FATAL_FAILURE(fillRacks(0, 60000));
  FaultPlan Plan;
  Plan.OutagesAtMs = {1000};
  Stage->beginFaults(Plan);
  Stage->run(1000 + FaultPlan::OutageMs + 400);
  ASSERT_NO_FATAL_FAILURE(submitWideGang());
  Stage->run(9000);
  expectNoFindings();
}

// Guards against accepted jobs that stand still, are denied, are lost or run
// twice when the store and hosts fail together.
TEST_F(OutageTest, jobsAreLostOrStandStillAfterOutages) {
  std::mt19937_64 Random(Seed);
  const auto TrafficMs = trafficMs(24);
  const auto Plan = FaultPlan::random(Random, TrafficMs);
  for (const auto &Fault : Plan.HostFaults)
    std::cout << Fault.describe() << "\n";
  for (const auto &Closure : Plan.Closures)
    std::cout << Closure.describe() << "\n";
  for (const auto AtMs : Plan.OutagesAtMs)
    std::cout << "outage at " << AtMs << " ms\n";
  ASSERT_NO_FATAL_FAILURE(start());
  Stage->beginFaults(Plan);
  unsigned Round = 0;
  for (auto LeftMs = TrafficMs; LeftMs > 0; LeftMs -= FaultPlan::RoundMs) {
    ASSERT_NO_FATAL_FAILURE(fillRacks(Round, RoundFillerMs));
    runTraffic(Round++, std::min(LeftMs, FaultPlan::RoundMs));
  }
  expectAllCompleted(CompletionLimitMs);
  expectNoFindings();
}

// Guards against a successor that does not know that a zone was closed before
// it took over: the owner dies between the store's answer to the request and
// its first decision after it.
TEST_F(OutageTest, successorStartsTasksInAClosedZone) {
  constexpr unsigned Rack = 2;
  const auto &Zone = OutageStage::zoneOfRack(Rack);
  ASSERT_NO_FATAL_FAILURE(start());
  const auto SubmitToZone = [&](std::uint64_t Number) {
    submit(JobPlan::rackFiller(jobId(0, Number), OutageStage::rackName(Rack),
                               FillersPerRack, 1000));
  };
  ASSERT_NO_FATAL_FAILURE(SubmitToZone(1));
  runTraffic(0, 3000);
  EXPECT_FALSE(Stage->startsInZone(Zone, 0, Stage->elapsedMs()).empty());
  // The owner has placed the tasks of this job, or is about to.
  ASSERT_NO_FATAL_FAILURE(SubmitToZone(2));
  const auto ClosedMs = Stage->closeZoneAndKillOwner(Zone);
  ASSERT_NO_FATAL_FAILURE(SubmitToZone(3));
  runTraffic(1, ClosedZoneMs);
  const auto OpenedMs = Stage->openZone();
  for (const auto &Each : Stage->startsInZone(Zone, ClosedMs, OpenedMs))
    ADD_FAILURE() << "started in the closed zone: " << Each;
  expectAllCompleted(CompletionLimitMs);
  EXPECT_FALSE(Stage->startsInZone(Zone, OpenedMs, Stage->elapsedMs()).empty());
  expectNoFindings();
}

} // namespace
} // namespace jayramp::platform_test
