#include "ShardFixture.h"

#include "Base/Metrics.h"
#include "Scheduling/WaitStatistics.h"
#include "Shard/OwnerGauges.h"

#include <sstream>

namespace jayramp::test {
namespace {

using scheduling::WaitReason;

class OwnerGaugesTest : public ShardFixture {
protected:
  /// Publishes the gauges, however recently that was done.
  auto update() -> void {
    shard::OwnerGauges::OwnersByShard Owners;
    if (Owner)
      Owners["pool"] = std::move(Owner);
    UpdatedAt += Milliseconds(1000);
    Gauges.update(Owners, UpdatedAt);
    if (!Owners.empty())
      Owner = std::move(Owners["pool"]);
  }

  /// Returns the value of a series on the metrics page; none if it is missing.
  auto value(const std::string &Series) const -> std::optional<double> {
    std::istringstream Page(Counters.renderText());
    for (std::string Line; std::getline(Page, Line);)
      if (Line.rfind(Series + " ", 0) == 0)
        return std::stod(Line.substr(Series.size()));
    return std::nullopt;
  }

  static auto series(const std::string &Name, const std::string &Reason)
      -> std::string {
    return Name + "{shard=\"pool\",reason=\"" + Reason + "\"}";
  }

  Metrics Counters;
  shard::OwnerGauges Gauges{Counters};
  TimePoint UpdatedAt = Clock::now();
};

// Guards against workers that stand idle because they do not answer, without a
// trace on the metrics page.
TEST_F(OwnerGaugesTest, showsWorkersThatDoNotAnswer) {
  Registry.add("w1");
  Registry.add("w2");
  Workers["w2"].Unresponsive = true;
  startOwner();
  runFor(Milliseconds(300));
  update();
  EXPECT_EQ(value("jayramp_workers_not_answering{shard=\"pool\"}"), 1);
  EXPECT_EQ(value("jayramp_workers_not_asked{shard=\"pool\"}"), 0);
  Owner.reset();
  update();
  EXPECT_EQ(value("jayramp_workers_not_answering{shard=\"pool\"}"), 0);
}

// Guards against workers that get no tasks because an end of theirs must not be
// acknowledged, without a trace on the metrics page.
TEST_F(OwnerGaugesTest, showsWorkersWithAWithheldEnd) {
  const std::string Series =
      "jayramp_workers_with_withheld_end{shard=\"pool\"}";
  Registry.add("w1");
  Workers["w1"].WorkTime = Milliseconds(50);
  Settings.LeaseDuration = Milliseconds(2000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  update();
  EXPECT_EQ(value(Series), 0);
  Workers["w1"].Unresponsive = true;
  runFor(Milliseconds(300));
  Registry.drain("w1");
  Registry.remove("w1");
  Registry.add("w2");
  ASSERT_TRUE(runUntil([&] { return Workers["w2"].Started.size() == 1; }));
  Workers["w1"].Unresponsive = false;
  Registry.add("w1");
  EXPECT_TRUE(runUntil([&] {
    update();
    return value(Series) == 1;
  }));
  Owner.reset();
  update();
  EXPECT_EQ(value(Series), 0);
}

// Guards against a metrics page that does not tell tasks that wait for room
// from an owner that does not act.
TEST_F(OwnerGaugesTest, showsWaitingTasksByReasonAndTheUseOfThePool) {
  Registry.add("w1");
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a", 1, false, 8));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  submit(job("b", 3, false, 8));
  ASSERT_TRUE(runUntil([&] {
    const auto *Waiting = Owner->scheduler().job("b");
    return Waiting && Waiting->waitReason(0) == WaitReason::Room;
  }));
  UpdatedAt = Clock::now();
  update();
  EXPECT_EQ(value(series("jayramp_waiting_tasks", "room")), 3);
  EXPECT_GT(value(series("jayramp_longest_wait_seconds", "room")), 1.0);
  EXPECT_EQ(value(series("jayramp_waiting_tasks", "rack")), 0);
  EXPECT_GT(value("jayramp_pool_use{shard=\"pool\"}"), 0.0);
  EXPECT_EQ(value("jayramp_confirmed_pool_use{shard=\"pool\"}"),
            value("jayramp_pool_use{shard=\"pool\"}"));
  EXPECT_EQ(value("jayramp_owner_recovering{shard=\"pool\"}"), 0);
}

// Guards against gauges that keep the values of a shard that another host owns
// now.
TEST_F(OwnerGaugesTest, setsTheGaugesOfALostShardToZero) {
  Store.setReadsDown(Rows.journalPartitions().front(), true);
  startOwner();
  runFor(Milliseconds(20));
  update();
  EXPECT_EQ(value("jayramp_owner_recovering{shard=\"pool\"}"), 1);
  Owner.reset();
  update();
  EXPECT_EQ(value("jayramp_owner_recovering{shard=\"pool\"}"), 0);
  EXPECT_EQ(value("jayramp_pool_use{shard=\"pool\"}"), 0);
}

// Guards against an operator who can't tell when a closed zone is empty, and
// against a zone that still looks closed after it was opened or the shard lost.
TEST_F(OwnerGaugesTest, showsWhatIsLeftInClosedZones) {
  const std::string Labels = "{shard=\"pool\",zone=\"za\"}";
  Registry.add("w1", "r1", {64000, 128000, 8}, "za");
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  for (const bool IsClosed : {true, false, true}) {
    Owner->setClosedZones(
        {IsClosed ? std::set<std::string>{"za"} : std::set<std::string>{},
         Milliseconds(0)});
    update();
    EXPECT_EQ(value("jayramp_zone_closed" + Labels), IsClosed ? 1 : 0);
    EXPECT_EQ(value("jayramp_closed_zone_runs" + Labels), IsClosed ? 1 : 0);
  }
  Owner.reset();
  update();
  EXPECT_EQ(value("jayramp_zone_closed" + Labels), 0);
  EXPECT_EQ(value("jayramp_closed_zone_runs" + Labels), 0);
}

// Guards against zones that are shown, and count towards the limit, long after
// their last worker has left.
TEST_F(OwnerGaugesTest, setsTheTimeFactorOfAZoneThatIsGoneToZero) {
  const std::string Series =
      "jayramp_zone_time_factor{shard=\"pool\",zone=\"za\"}";
  Registry.add("w1", "r1", {64000, 128000, 8}, "za");
  Registry.add("w2", "r2", {64000, 128000, 8}, "zb");
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  update();
  EXPECT_EQ(value(Series), 1);
  Registry.remove("w1");
  ASSERT_TRUE(runUntil(
      [&] { return Owner->scheduler().runTimes().zoneFactors().size() == 1; }));
  update();
  EXPECT_EQ(value(Series), 0);
}

// Guards against walking all jobs at each check of the host.
TEST_F(OwnerGaugesTest, updatesAtMostOnceASecond) {
  Gauges.update({}, UpdatedAt);
  startOwner();
  shard::OwnerGauges::OwnersByShard Owners;
  Owners["pool"] = std::move(Owner);
  Gauges.update(Owners, UpdatedAt + Milliseconds(999));
  EXPECT_EQ(value("jayramp_owner_recovering{shard=\"pool\"}"), std::nullopt);
  Gauges.update(Owners, UpdatedAt + Milliseconds(1000));
  EXPECT_EQ(value("jayramp_owner_recovering{shard=\"pool\"}"), 1);
}

// Guards against counting tasks whose step waits for an earlier one, and
// against reading a wait that was not recorded.
TEST_F(OwnerGaugesTest, countsOnlyTasksWhoseTurnHasCome) {
  scheduling::ShardScheduler Scheduler;
  auto Spec = job("a", 2);
  Spec.Steps.push_back(Spec.Steps[0]);
  Spec.Steps[1].After = {0};
  const auto Now = Clock::now();
  Scheduler.addJob(Spec, {}, Now);
  const scheduling::WaitStatistics Expected{{std::nullopt, {2, 0}}};
  EXPECT_EQ(collectWaitStatistics(Scheduler, Now), Expected);
}

} // namespace
} // namespace jayramp::test
