#include "SchedulerFixture.h"

namespace jayramp::scheduling {
namespace {

/// Racks of six workers with eight accelerators each. A gang of ten tasks, of
/// which a worker holds two, fits in a rack if five of its workers are free.
class RackWaitTest : public SchedulerFixture {
protected:
  static constexpr int WorkersPerRack = 6;
  static constexpr std::int64_t LongestWaitMs = 20000; ///< For a rack.

  static auto wideGang() -> JobShape {
    return {1, 10, 4, true, true, Milliseconds(9000)};
  }

  /// Adds a rack of which \p Busy workers run a long task of another job.
  auto addRack(const std::string &Rack, int Busy) -> void {
    for (int Number = 0; Number < WorkersPerRack; ++Number) {
      const auto Id = Rack + "-w" + std::to_string(Number);
      auto Report = workerReport(Id, Rack);
      Report.Labels = {Id};
      Scheduler.updateWorker(Report, at(0));
      if (Number < Busy)
        occupy(Id);
    }
  }

  auto occupy(const std::string &Worker) -> void {
    auto Filler =
        jobSpec("on-" + Worker, {1, 1, 8, false, false, Milliseconds(60000)});
    Filler.Steps[0].Need.CpuMillis = 64000;
    Filler.Steps[0].RequiredLabel = Worker;
    Scheduler.addJob(Filler, {}, at(0));
  }

  /// Makes a pass every 100 ms from \p From to \p Until.
  auto scheduleUntil(std::int64_t From, std::int64_t Until) -> void {
    for (auto Ms = From; Ms <= Until; Ms += 100)
      Scheduler.schedule(at(Ms));
  }
};

// Guards against a gang that starves beside idle workers because no single rack
// has room for it.
TEST_F(RackWaitTest, gangStarvesForARackBesideIdleWorkers) {
  for (const auto *Rack : {"r0", "r1", "r2", "r3"})
    addRack(Rack, 2);
  Scheduler.schedule(at(0));
  addJob("gang", wideGang(), 1000);
  scheduleUntil(1000, 4000);
  EXPECT_EQ(runsOf("gang").size(), 10U);
}

// Guards against giving up a rack too early: spread over racks, the gang holds
// its accelerators for longer, at the cost of others.
TEST_F(RackWaitTest, gangIsSpreadTooEarlyOnABusyPool) {
  for (const auto *Rack : {"r0", "r1", "r2", "r3"})
    addRack(Rack, 3);
  Scheduler.schedule(at(0));
  addJob("gang", wideGang(), 1000);
  scheduleUntil(1000, 1000 + LongestWaitMs - 100);
  EXPECT_TRUE(runsOf("gang").empty());
}

TEST_F(RackWaitTest, gangStarvesForARackOnABusyPool) {
  for (const auto *Rack : {"r0", "r1", "r2", "r3"})
    addRack(Rack, 3);
  Scheduler.schedule(at(0));
  addJob("gang", wideGang(), 1000);
  scheduleUntil(1000, 1000 + LongestWaitMs);
  EXPECT_EQ(runsOf("gang").size(), 10U);
}

// Guards against spreading a gang at once although a rack becomes free soon.
TEST_F(RackWaitTest, gangIsSpreadBesideARackThatBecomesFreeSoon) {
  for (const auto *Rack : {"r0", "r1", "r2", "r3"})
    addRack(Rack, 2);
  Scheduler.schedule(at(0));
  addJob("gang", wideGang(), 1000);
  scheduleUntil(1000, 1500);
  Scheduler.runEnded({"on-r2-w0", 0, 0, 1}, RunOutcome::Succeeded, {},
                     at(1500));
  Scheduler.schedule(at(1500));
  EXPECT_EQ(runsOf("gang").size(), 10U);
  EXPECT_EQ(racksOf("gang"), std::set<std::string>{"r2"});
}

// Guards against spreading a repeated gang at once because its earlier run took
// long.
TEST_F(RackWaitTest, repeatedGangDoesNotWaitForARack) {
  for (const auto *Rack : {"r0", "r1", "r2", "r3"})
    addRack(Rack, 1);
  Scheduler.schedule(at(0));
  addJob("gang", wideGang(), 0);
  Scheduler.schedule(at(0));
  confirmStarts(0);
  for (const auto &LiveRun : runsOf("gang"))
    Scheduler.runLost(LiveRun.Id, at(9000));
  // The other jobs get the room first.
  Scheduler.setOnHold("gang", true);
  for (const auto *Rack : {"r0", "r1", "r2", "r3"})
    occupy(std::string(Rack) + "-w1");
  Scheduler.schedule(at(9000));
  Scheduler.setOnHold("gang", false);
  Scheduler.schedule(at(9000));
  EXPECT_TRUE(runsOf("gang").empty());
  scheduleUntil(9100, 11000);
  EXPECT_EQ(runsOf("gang").size(), 10U);
}

// Guards against a gang that waits for a rack anew each time a worker refuses
// the start of one of its members, although none of its tasks ever ran.
TEST_F(RackWaitTest, refusedStartRestartsTheWaitForARack) {
  for (const auto *Rack : {"r0", "r1"})
    addRack(Rack, WorkersPerRack - 1);
  Scheduler.schedule(at(0));
  addJob("gang", {1, 2, 8, true, true, Milliseconds(9000)});
  for (std::int64_t Ms = 0; Ms <= LongestWaitMs; Ms += 100)
    Scheduler.schedule(at(Ms));
  ASSERT_EQ(runsOf("gang").size(), 2U);
  for (const auto &LiveRun : runsOf("gang"))
    Scheduler.runLost(LiveRun.Id, at(LongestWaitMs + 100));
  for (std::int64_t Ms = LongestWaitMs + 100; Ms <= LongestWaitMs + 3000;
       Ms += 100)
    Scheduler.schedule(at(Ms));
  EXPECT_EQ(runsOf("gang").size(), 2U);
}

// Guards against spreading a gang although a rack has room for it: it may have
// waited for long for the end of an earlier run and not for a rack.
TEST_F(RackWaitTest, gangIsSpreadBesideAFreeRack) {
  addRack("r0", 3);
  for (const auto *Rack : {"r1", "r2"})
    addRack(Rack, 0);
  Scheduler.schedule(at(0));
  addJob("gang", wideGang(), 0);
  Scheduler.setOnHold("gang", true);
  scheduleUntil(0, 5000);
  Scheduler.setOnHold("gang", false);
  Scheduler.schedule(at(5000));
  EXPECT_EQ(runsOf("gang").size(), 10U);
  EXPECT_EQ(racksOf("gang").size(), 1U);
}

// Guards against spreading a gang into the last free room of an idle pool,
// where it would hold it for three times as long.
TEST_F(RackWaitTest, gangIsSpreadIntoTheLastRoom) {
  addRack("r0", 2);
  Scheduler.updateWorker(workerReport("r1-w0", "r1"), at(0));
  Scheduler.schedule(at(0));
  // Two tasks fit on each of five free workers, and a rack holds at most eight.
  auto Gang = jobSpec("gang", wideGang());
  Gang.Steps[0].Count = 9;
  Scheduler.addJob(Gang, {}, at(1000));
  scheduleUntil(1000, 10000);
  EXPECT_TRUE(runsOf("gang").empty());
}

} // namespace
} // namespace jayramp::scheduling
