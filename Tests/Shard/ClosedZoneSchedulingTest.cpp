#include "SchedulerFixture.h"

#include "Scheduling/ClosedZoneStatistics.h"
#include "Scheduling/PoolUse.h"

namespace jayramp::scheduling {
namespace {

/// Decisions on a pool of which one availability zone is closed at once.
class ClosedZoneSchedulingTest : public SchedulerFixture {
protected:
  /// Adds a rack of workers with 8 accelerators, named after the zone.
  auto addZone(const std::string &Zone, int Count) -> void {
    for (int Number = 0; Number < Count; ++Number) {
      auto Report = workerReport(Zone + std::to_string(Number), "rack-" + Zone);
      Report.Zone = Zone;
      Scheduler.updateWorker(Report, at(0));
    }
  }

  auto zonesOf(const std::string &Job) const -> std::set<std::string> {
    std::set<std::string> Zones;
    for (const auto &LiveRun : runsOf(Job))
      Zones.insert(Scheduler.worker(LiveRun.Worker)->Report.Zone);
    return Zones;
  }
};

using Zones = std::set<std::string>;

// Guards against starts in a closed zone, against moving what runs there, and
// against moving runs back when it opens.
TEST_F(ClosedZoneSchedulingTest, closedZoneGetsNothingAndLosesNothing) {
  addZone("a", 1);
  addZone("b", 1);
  addJob("wide", {1, 2, 8});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  ASSERT_EQ(zonesOf("wide"), (Zones{"a", "b"}));
  Scheduler.setClosedZones({"a", "no-such-zone"});
  EXPECT_TRUE(Scheduler.needsPass());
  addZone("a", 2);
  addJob("late", {1, 1, 8});
  Scheduler.schedule(at(100));
  EXPECT_TRUE(runsOf("late").empty());
  EXPECT_EQ(zonesOf("wide"), (Zones{"a", "b"}));
  EXPECT_EQ(collectClosedZoneStatistics(Scheduler),
            (std::map<std::string, ClosedZoneUse>{{"a", {2, 1}},
                                                  {"no-such-zone", {0, 0}}}));
  Scheduler.setClosedZones({});
  Scheduler.schedule(at(200));
  EXPECT_EQ(zonesOf("late"), Zones{"a"});
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
}

// Guards against a run that is started again in the zone that it stalled in.
TEST_F(ClosedZoneSchedulingTest, stalledRunIsStartedAgainOutside) {
  addZone("a", 2);
  addJob("task", {1, 1, 8});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  Scheduler.setClosedZones({"a"});
  addZone("b", 1);
  const auto Stalled = runsOf("task").at(0).Id;
  Scheduler.runProgressed(Stalled, 0, {}, at(5000));
  Scheduler.runEnded(Stalled, RunOutcome::Stopped, {}, at(5100));
  Scheduler.schedule(at(5100));
  EXPECT_EQ(zonesOf("task"), Zones{"b"});
}

// Guards against gangs that wait for a rack of a closed zone: one whose data is
// there, and one that is too wide for the racks that are left.
TEST_F(ClosedZoneSchedulingTest, gangsLookForRacksInOpenZones) {
  addZone("a", 3);
  addZone("b", 2);
  addZone("c", 2);
  Scheduler.setClosedZones({"a"});
  auto NearData = jobSpec("near-data", {0, 2, 8, true, true});
  NearData.Steps[0].DataRack = "rack-a";
  Scheduler.addJob(NearData, {}, at(0));
  Scheduler.schedule(at(0));
  EXPECT_EQ(runsOf("near-data").size(), 2U);
  EXPECT_EQ(racksOf("near-data").size(), 1U);
  Scheduler.cancelJob("near-data", at(10));
  for (const auto &LiveRun : runsOf("near-data"))
    Scheduler.runLost(LiveRun.Id, at(10));
  addJob("wide", {0, 3, 8, true, true}, 20);
  Scheduler.schedule(at(20));
  EXPECT_EQ(zonesOf("wide"), (Zones{"b", "c"}));
}

// Guards against a guarantee that waits for room in a closed zone, or stops
// runs there, where their room can't be used.
TEST_F(ClosedZoneSchedulingTest, guaranteeIsReclaimedInOpenZones) {
  addZone("a", 1);
  addZone("b", 1);
  Scheduler.setGuarantees({{"owner", 8}});
  addJob("other", {1, 2, 8, false, false, Milliseconds(60000)});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  Scheduler.setClosedZones({"a"});
  addJob("guaranteed", {0, 1, 8, false, false, Milliseconds(500), "owner"});
  for (std::int64_t Ms = 0; Ms <= 2000; Ms += 100)
    Scheduler.schedule(at(Ms));
  const auto Stops = Scheduler.takeStopDecisions();
  ASSERT_EQ(Stops.size(), 1U);
  EXPECT_EQ(Stops[0].Worker, "b0");
  Scheduler.runEnded(Stops[0].Run, RunOutcome::Stopped, {}, at(2100));
  Scheduler.schedule(at(2100));
  EXPECT_EQ(zonesOf("guaranteed"), Zones{"b"});
}

// Guards against a reserve sized for the whole pool, which takes all that is
// left of it, and against a pool that looks idle because a zone is empty.
TEST_F(ClosedZoneSchedulingTest, reserveAndPoolUseCountOpenZonesOnly) {
  addZone("a", 4);
  addZone("b", 2);
  Scheduler.setClosedZones({"a"});
  // Arrivals for more than the largest reserve: 0.6 of 16 accelerators.
  addJob("urgent", {0, 1, 8});
  addJob("batch", {1, 1, 6, false, false, Milliseconds(9000)});
  addJob("more", {0, 3, 8}, 5);
  Scheduler.cancelJob("more", at(5));
  Scheduler.cancelJob("urgent", at(5));
  Scheduler.schedule(at(10));
  EXPECT_EQ(runsOf("batch").size(), 1U);
  addJob("filler", {0, 2, 2}, 20);
  Scheduler.schedule(at(20));
  const Resources Used{3000, 3000, 10};
  Resources Capacity{128000, 256000, 16};
  EXPECT_DOUBLE_EQ(poolUse(Scheduler.workers(), "pool"),
                   Used.coreEquivalents() / Capacity.coreEquivalents());
}

// Guards against an operator who can't tell what a closed zone holds up.
TEST_F(ClosedZoneSchedulingTest, waitNamesTheClosedZone) {
  addZone("a", 1);
  addZone("b", 1);
  addJob("running", {1, 1, 8});
  Scheduler.schedule(at(0));
  const auto Busy = *zonesOf("running").begin();
  Scheduler.setClosedZones({Busy == "a" ? "b" : "a"});
  addJob("room-in-closed-zone", {1, 1, 8});
  addJob("too-wide-for-open-zone", {1, 2, 8, true});
  addJob("too-wide-for-all", {1, 3, 8, true});
  Scheduler.schedule(at(1100));
  std::map<std::string, WaitReason> Reasons;
  for (const auto &Report : Scheduler.takeWaitReports())
    Reasons[Report.Job] = Report.Reason;
  EXPECT_EQ(Reasons, (std::map<std::string, WaitReason>{
                         {"room-in-closed-zone", WaitReason::ClosedZone},
                         {"too-wide-for-open-zone", WaitReason::ClosedZone},
                         {"too-wide-for-all", WaitReason::NoWorker}}));
}

} // namespace
} // namespace jayramp::scheduling
