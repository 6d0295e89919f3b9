#include "ShardFixture.h"

#include "Base/EventLog.h"

namespace jayramp::test {
namespace {

using scheduling::JobState;
using Mode = FakeRowStore::Mode;

/// An owner that is told that zones are closed: worker w1 is in zone za, w2 and
/// w3 in zb.
class ClosedZoneTest : public ShardFixture {
protected:
  ClosedZoneTest() { Settings.OrderTimeout = Milliseconds(20); }

  auto close(std::set<std::string> Zones) -> void {
    KnownZones = {std::move(Zones), suspendAwareNow()};
    Owner->setClosedZones(KnownZones);
  }
  auto addFirstWorker() -> void { Registry.add("w1", "r1", Capacity, "za"); }
  auto addOtherWorker(const std::string &Id = "w2") -> void {
    Registry.add(Id, "r2", Capacity, "zb");
  }
  auto startsOn(const std::string &Worker) -> std::size_t {
    return Workers[Worker].Started.size();
  }

  const scheduling::Resources Capacity{64000, 128000, 8};
};

// Guards against starts in a closed zone, and against a stop of what runs
// there. A closure that is taken back at once must not stay in force.
TEST_F(ClosedZoneTest, startedRunGoesOnAndNoOtherStarts) {
  addFirstWorker();
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return startsOn("w1") == 1; }));
  runFor(Milliseconds(20));
  close({"za", "zb"});
  submit(job("b"));
  runFor(Milliseconds(100));
  EXPECT_EQ(Workers.startsOf("b"), 0U);
  EXPECT_EQ(Workers.runningCopiesOf("a"), 1U);
  close({"zb"});
  close({"za"});
  close({"zb"});
  EXPECT_TRUE(runUntil([&] { return Workers.startsOf("b") == 1; }));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
}

// Guards against a run that waits for the commit of its placement while its
// zone is closed.
TEST_F(ClosedZoneTest, runThatIsNotDurableIsPlacedElsewhere) {
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Owner->scheduler().job("a"); }));
  Store.setMode(Mode::Holding);
  addFirstWorker();
  ASSERT_TRUE(runUntil([&] { return !Owner->scheduler().runs().empty(); }));
  close({"za"});
  Store.release();
  runFor(Milliseconds(60));
  EXPECT_EQ(startsOn("w1"), 0U);
  addOtherWorker();
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  EXPECT_EQ(startsOn("w2"), 1U);
}

// Guards against repeating a start that got no answer, and against running the
// task twice: the start was carried out.
TEST_F(ClosedZoneTest, startWithoutAnswerIsStoppedAndNotRepeated) {
  addFirstWorker();
  Workers["w1"].UnansweredStarts = 1;
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return startsOn("w1") == 1; }));
  close({"za"});
  addOtherWorker();
  Workers["w2"].WorkTime = Milliseconds(60000);
  EXPECT_TRUE(runUntil([&] { return startsOn("w2") == 1; }));
  EXPECT_EQ(startsOn("w1"), 1U);
  EXPECT_EQ(Workers.runningCopiesOf("a"), 1U);
}

// Guards against a gang that waits for a member in a closed zone.
TEST_F(ClosedZoneTest, gangWithAnUnconfirmedMemberIsRestartedOutside) {
  addFirstWorker();
  addOtherWorker();
  for (const auto *Id : {"w1", "w2", "w3"})
    Workers[Id].WorkTime = Milliseconds(60000);
  startOwner();
  runFor(Milliseconds(50));
  Workers["w1"].Unresponsive = true;
  submit(job("a", 2, true, 8));
  ASSERT_TRUE(runUntil([&] { return startsOn("w2") == 1; }));
  close({"za"});
  Workers["w1"].Unresponsive = false;
  addOtherWorker("w3");
  EXPECT_TRUE(runUntil([&] { return startsOn("w3") == 1; }));
  EXPECT_EQ(startsOn("w1"), 0U);
  EXPECT_EQ(startsOn("w2"), 2U);
}

// Guards against starts by an owner that is cut from the store, so that it
// can't know which zones have been closed since; and against an owner that
// never starts anything where no limit is set.
TEST_F(ClosedZoneTest, ownerStartsNothingUntilItKnowsTheZonesRecently) {
  addOtherWorker();
  Settings.MaxClosedZonesAge = Milliseconds(100);
  KnownZones.CompleteAsOf = suspendAwareNow() - Milliseconds(101);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return !Owner->scheduler().runs().empty(); }));
  runFor(Milliseconds(80));
  EXPECT_EQ(startsOn("w2"), 0U);
  close({});
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  runFor(Milliseconds(120));
  Settings.MaxClosedZonesAge.reset();
  submit(job("b"));
  EXPECT_TRUE(runUntil([&] { return stateOf("b") == JobState::Completed; }));
}

// Guards against a successor that repeats the starts of its predecessor in a
// zone that was closed before it took over.
TEST_F(ClosedZoneTest, successorKnowsTheZonesBeforeItsFirstStart) {
  addFirstWorker();
  Workers["w1"].Unresponsive = true;
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.orderCount() > 0; }));
  Owner.reset();
  Workers["w1"].Unresponsive = false;
  addOtherWorker();
  KnownZones.Zones = {"za"};
  startOwner(2);
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  EXPECT_EQ(startsOn("w1"), 0U);
  EXPECT_EQ(startsOn("w2"), 1U);
}

// Guards against an operator who isn't told when a zone is closed, empty and
// open, or that the name is not one of a zone.
TEST_F(ClosedZoneTest, logsZonesAndWhatIsLeftInThem) {
  std::vector<std::string> Events;
  setEventObserver([&](std::string_view Event, const auto &Fields) {
    if (Event.starts_with("zone-"))
      Events.push_back(formatEvent(Event, Fields));
  });
  addFirstWorker();
  Workers["w1"].WorkTime = Milliseconds(400);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return startsOn("w1") == 1; }));
  close({"za", "zx"});
  EXPECT_TRUE(runUntil([&] { return Events.size() == 4; }));
  close({});
  EXPECT_TRUE(runUntil([&] { return Events.size() == 6; }));
  setEventObserver(nullptr);
  const std::vector<std::string> Expected{
      "event=zone-closed shard=pool zone=za workers=1 runs=1",
      "event=zone-closed shard=pool zone=zx workers=0 runs=0",
      "event=zone-empty shard=pool zone=zx",
      "event=zone-empty shard=pool zone=za",
      "event=zone-opened shard=pool zone=za",
      "event=zone-opened shard=pool zone=zx"};
  EXPECT_EQ(Events, Expected);
}

} // namespace
} // namespace jayramp::test
