#include "Requests/SlotLedger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jayramp {
namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
const SlotLedger::TrafficShareFunction FullShare = [](std::string_view) {
  return 1.0;
};

auto ledgerWith(std::uint32_t Workers, std::uint32_t Slots,
                std::uint32_t Used = 0) -> SlotLedger {
  auto Ledger = SlotLedger::make({}).value();
  Ledger.setEpoch(7);
  for (std::uint32_t Worker = 0; Worker < Workers; ++Worker) {
    std::string Name = "w" + std::to_string(Worker);
    Ledger.addWorker(Name, "127.0.0.1:1");
    Ledger.applyStatus({Name, Slots, Used, false, Start}, Start);
  }
  return Ledger;
}

auto slotRequest(const std::string &Id, WorkClass Class = WorkClass::Short,
                 const std::string &Holder = "x") -> SlotGrantRequest {
  return {Id, Holder, Holder, Class};
}

// Guards against more running requests than the worker has slots. The modelled
// worker starts requests with a delay, so its status lags behind the grants.
RC_GTEST_PROP(SlotLedgerTest, neverRunsMoreRequestsThanSlots,
              (std::vector<std::uint32_t> Choices)) {
  constexpr std::uint32_t Slots = 4;
  auto Initial = *rc::gen::inRange<std::uint32_t>(0, Slots + 1);
  auto Ledger = ledgerWith(1, Slots, Initial);
  std::uint32_t Unattributed = Initial;
  struct RunningRequest {
    std::string Id;
    std::string Holder;
    TimePoint VisibleAt;
  };
  std::vector<RunningRequest> Active; // Granted, and not ended at the worker.
  std::uint32_t NextId = 0;
  TimePoint Now = Start;
  for (std::uint32_t Choice : Choices) {
    Now += Milliseconds(Choice / 64 % 1'500);
    std::size_t Index = Active.empty() ? 0 : Choice / 7 % Active.size();
    switch (Choice % 7) {
    case 0:
    case 1: {
      std::string Holder = Choice / 3 % 2 == 0 ? "x" : "y";
      auto Class = Choice / 6 % 2 == 0 ? WorkClass::Short : WorkClass::Long;
      std::string Id = std::to_string(NextId++);
      auto Decision =
          Ledger.grant(slotRequest(Id, Class, Holder), FullShare, "", Now);
      if (std::holds_alternative<SlotGrant>(Decision))
        Active.push_back({Id, Holder, Now + Milliseconds(500)});
      break;
    }
    case 2:
    case 3:
      if (Active.empty())
        break;
      Ledger.release(Active[Index].Id, Milliseconds(5));
      // If the holder was lost, the release has no effect and only a later
      // status shows the free slot.
      Active.erase(Active.begin() + static_cast<std::ptrdiff_t>(Index));
      break;
    case 4:
      Unattributed -= Unattributed > 0 ? 1 : 0;
      break;
    case 5: {
      std::uint32_t Used = Unattributed;
      for (const RunningRequest &Item : Active)
        Used += Item.VisibleAt <= Now ? 1 : 0;
      Ledger.applyStatus({"w0", Slots, Used, false, Now}, Now);
      break;
    }
    default:
      Ledger.reclassifyOverdueGrants(Now);
      if (Choice / 11 % 4 == 0)
        Ledger.releaseGrantsOfLostHolders({"x"}, Now);
    }
    RC_ASSERT(Unattributed + Active.size() <= Slots);
  }
}

// Guards against overloading a worker after a takeover. A ledger that started
// empty would ignore the requests that the worker still runs for the previous
// owner.
TEST(SlotLedgerTest, countsRunningRequestsAfterTakeover) {
  auto Ledger = SlotLedger::make({}).value();
  Ledger.addWorker("w0", "127.0.0.1:1");
  EXPECT_TRUE(std::holds_alternative<SlotNoUsableWorker>(
      Ledger.grant(slotRequest("a"), FullShare, "", Start)));
  EXPECT_TRUE(Ledger.applyStatus({"w0", 8, 6, false, Start}, Start));
  EXPECT_EQ(Ledger.unattributedSlots("w0"), 6U);
  EXPECT_EQ(Ledger.freeSlots(), 2U);
  EXPECT_FALSE(Ledger.applyStatus({"w0", 8, 0, false, Start}, Start));
  TimePoint Later = Start + std::chrono::seconds(1);
  EXPECT_TRUE(Ledger.applyStatus({"w0", 8, 1, false, Later}, Later));
  EXPECT_EQ(Ledger.freeSlots(), 7U);
}

// Guards against slots being granted twice when their holder is lost while the
// worker still runs its requests.
TEST(SlotLedgerTest, slotsOfLostHolderStayUsedUntilStatusShowsThemFree) {
  auto Ledger = ledgerWith(1, 2);
  Ledger.grant(slotRequest("a", WorkClass::Short, "dead"), FullShare, "",
               Start);
  Ledger.grant(slotRequest("b", WorkClass::Short, "x"), FullShare, "", Start);
  TimePoint Later = Start + std::chrono::seconds(5);
  EXPECT_EQ(Ledger.releaseGrantsOfLostHolders({"x"}, Later).size(), 1U);
  EXPECT_TRUE(std::holds_alternative<SlotsAllInUse>(
      Ledger.grant(slotRequest("c"), FullShare, "", Later)));
  Ledger.applyStatus({"w0", 2, 1, false, Later}, Later);
  EXPECT_TRUE(std::holds_alternative<SlotGrant>(
      Ledger.grant(slotRequest("c"), FullShare, "", Later)));
}

// Guards against long work using all slots of a worker, also if it is declared
// short.
TEST(SlotLedgerTest, longWorkUsesOnlyItsShareOfSlots) {
  auto Ledger = ledgerWith(1, 8);
  for (int Grant = 0; Grant < 4; ++Grant)
    EXPECT_TRUE(std::holds_alternative<SlotGrant>(
        Ledger.grant(slotRequest("l" + std::to_string(Grant), WorkClass::Long),
                     FullShare, "", Start)));
  EXPECT_TRUE(std::holds_alternative<SlotLongLimitReached>(
      Ledger.grant(slotRequest("l4", WorkClass::Long), FullShare, "", Start)));
  Ledger.release("l0", Milliseconds(2'000));
  Ledger.grant(slotRequest("s"), FullShare, "", Start);
  EXPECT_TRUE(
      Ledger.reclassifyOverdueGrants(Start + Milliseconds(1'000)).empty());
  EXPECT_EQ(Ledger.reclassifyOverdueGrants(Start + Milliseconds(1'001)).size(),
            1U);
  EXPECT_EQ(Ledger.freeLongSlots(), 0U);
  EXPECT_EQ(Ledger.freeSlots(), 4U);
  SlotPolicy AllLongPolicy;
  AllLongPolicy.LongPercent = 100;
  auto AllLong = SlotLedger::make(AllLongPolicy).value();
  EXPECT_EQ(AllLong.longSlotLimit(8), 7U);
  EXPECT_EQ(AllLong.longSlotLimit(1), 1U);
}

// Guards against work for leaving workers, against two slots for one repeated
// request and against a slot being released twice.
TEST(SlotLedgerTest, refusesLeavingWorkersAndIgnoresRepeats) {
  auto Ledger = ledgerWith(2, 1);
  auto First = Ledger.grant(slotRequest("a"), FullShare, "", Start);
  EXPECT_EQ(std::get<SlotGrant>(First).Epoch, 7U);
  EXPECT_EQ(
      std::get<SlotGrant>(Ledger.grant(slotRequest("a"), FullShare, "", Start)),
      std::get<SlotGrant>(First));
  EXPECT_EQ(Ledger.freeSlots(), 1U);
  EXPECT_TRUE(Ledger.release("a", std::nullopt).has_value());
  EXPECT_FALSE(Ledger.release("a", std::nullopt).has_value());
  Ledger.markLeaving("w0");
  auto Other = Ledger.grant(slotRequest("b"), FullShare, "", Start);
  EXPECT_EQ(std::get<SlotGrant>(Other).Worker, "w1");
  Ledger.markLeaving("w1");
  EXPECT_TRUE(std::holds_alternative<SlotNoUsableWorker>(
      Ledger.grant(slotRequest("c"), FullShare, "", Start)));
}

// Guards against a change of the percentage of long work taking effect only
// after a restart.
TEST(SlotLedgerSettingTest, longPercentChangesWhileRunning) {
  auto Ledger = SlotLedger::make({.LongPercent = 50}).value();
  EXPECT_EQ(Ledger.longSlotLimit(8), 4U);
  EXPECT_FALSE(Ledger.setLongLimits(101, Milliseconds(250)));
  EXPECT_FALSE(Ledger.setLongLimits(25, Milliseconds(0)));
  EXPECT_EQ(Ledger.longSlotLimit(8), 4U);
  EXPECT_TRUE(Ledger.setLongLimits(25, Milliseconds(250)));
  EXPECT_EQ(Ledger.longSlotLimit(8), 2U);
}

// Guards against more requests at a worker than it accepts connections. It
// would refuse them, and each refusal costs a retry.
TEST(SlotLedgerSettingTest, connectionsLimitTheSlots) {
  EXPECT_FALSE(SlotLedger::make({.Connections = 1}));
  auto Ledger = SlotLedger::make({.Connections = 4}).value();
  TimePoint Now{};
  Ledger.addWorker("w", "127.0.0.1:1");
  Ledger.applyStatus({.Worker = "w", .Slots = 8, .RequestedAt = Now}, Now);
  EXPECT_EQ(Ledger.freeSlots("w"), 3U);
}

// Guards against new work for a worker that the host list marks as leaving. The
// worker may not know it yet, so its status must not clear the mark.
TEST(SlotLedgerListTest, statusDoesNotClearLeavingMarkOfHostList) {
  auto Ledger = SlotLedger::make({}).value();
  TimePoint Now{};
  Ledger.addWorker("w", "127.0.0.1:1");
  Ledger.setLeavingInHostList("w", true);
  Ledger.applyStatus({.Worker = "w", .Slots = 8, .RequestedAt = Now}, Now);
  EXPECT_EQ(Ledger.freeSlots("w"), 0U);
  Ledger.setLeavingInHostList("w", false);
  EXPECT_EQ(Ledger.freeSlots("w"), 8U);
}

} // namespace
} // namespace jayramp
