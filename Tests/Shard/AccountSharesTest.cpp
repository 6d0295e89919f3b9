#include "SchedulerFixture.h"

namespace jayramp::scheduling {
namespace {

/// Eight workers with eight accelerators each.
class AccountSharesTest : public SchedulerFixture {
protected:
  static constexpr Milliseconds TaskTime{2000};

  auto SetUp() -> void override { addWorkers(1, 8); }

  /// Adds jobs that each take a whole worker.
  auto submit(const std::string &Account, int From, int Count, std::int64_t Ms,
              std::uint32_t Priority = 1) -> void {
    for (int Number = From; Number < From + Count; ++Number) {
      JobShape Shape{Priority, 1, 8, false, false, TaskTime};
      Shape.Tenant = Account;
      addJob(Account + std::to_string(Number), Shape, Ms);
    }
  }

  /// Returns how many jobs of the account have been placed.
  auto placedOf(const std::string &Account) const -> int {
    int Count = 0;
    for (const auto &[Id, Job] : Scheduler.jobs())
      if (Job.Spec.Tenant == Account && Job.waitingTasks() == 0)
        ++Count;
    return Count;
  }
};

// Guards against an account that submits ten times as much as another and
// leaves it a tenth of a full pool.
TEST_F(AccountSharesTest, smallAccountIsCrowdedOut) {
  for (int Second = 0; Second < 10; ++Second) {
    const auto Ms = Second * 1000;
    submit("large", Second * 10, 10, Ms);
    submit("small", Second, 1, Ms);
    for (int Step = 0; Step < 10; ++Step) {
      endRuns(Ms + Step * 100);
      Scheduler.schedule(at(Ms + Step * 100));
    }
  }
  // All workers become free together every two seconds.
  endRuns(10000);
  Scheduler.schedule(at(10000));
  EXPECT_TRUE(Scheduler.accountsCompete());
  EXPECT_EQ(placedOf("small"), 10);
  EXPECT_GE(placedOf("large"), 25);
}

// Guards against one pass that gives all room to one of two equal accounts.
TEST_F(AccountSharesTest, accountsDoNotTakeTurnsWithinAPass) {
  submit("first", 0, 20, 0);
  submit("second", 0, 20, 0);
  Scheduler.schedule(at(0));
  EXPECT_EQ(placedOf("first"), 4);
  EXPECT_EQ(placedOf("second"), 4);
}

// Guards against a past use that is held against an account for ever, and
// against accounts that are tracked without end.
TEST_F(AccountSharesTest, pastUseIsNeverForgotten) {
  AccountShares Shares(Milliseconds(1000));
  const Resources Amount{8000, 0, 1};
  Shares.occupy("a", Amount);
  Shares.update(at(0));
  Shares.update(at(10000));
  EXPECT_NEAR(Shares.useOf("a"), 32, 0.1);
  Shares.release("a", Amount);
  Shares.update(at(11000));
  EXPECT_NEAR(Shares.useOf("a"), 16 * 0.37, 0.1);
  Shares.update(at(30000));
  EXPECT_EQ(Shares.size(), 0U);
}

// Guards against an order by accounts where nobody waits for room, which would
// place jobs otherwise than before, and against one that goes before lateness.
TEST_F(AccountSharesTest, orderChangesBeyondTheTieOfWaitingJobs) {
  submit("a", 0, 4, 0);
  Scheduler.schedule(at(0));
  submit("a", 4, 2, 100);
  submit("b", 0, 2, 100);
  Scheduler.schedule(at(100));
  EXPECT_FALSE(Scheduler.accountsCompete());
  EXPECT_EQ(placedOf("a") + placedOf("b"), 8);
  submit("b", 2, 8, 200, 1);
  submit("a", 6, 8, 200, 0);
  endRuns(2000);
  Scheduler.schedule(at(2000));
  EXPECT_TRUE(Scheduler.accountsCompete());
  EXPECT_EQ(placedOf("a"), 10) << "The more urgent jobs go first.";
  EXPECT_EQ(placedOf("b"), 2);
}

} // namespace
} // namespace jayramp::scheduling
