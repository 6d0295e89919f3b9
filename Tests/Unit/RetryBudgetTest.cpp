#include "Requests/RetryBudget.h"

#include <gtest/gtest.h>

#include <set>

namespace jayramp {
namespace {

// Guards against retries multiplying the load when every attempt fails.
TEST(RetryBudgetTest, limitsRetriesToTheShareOfFirstAttempts) {
  RetryBudget Budget = RetryBudget::make({}).value();
  int Retries = 0;
  for (int Request = 0; Request < 10'000; ++Request) {
    Budget.recordFirstAttempt();
    for (int Try = 0; Try < 3; ++Try)
      if (Budget.tryTakeRetry())
        ++Retries;
  }
  // 0.1 retries per request and the initial 10. Without a budget there would be
  // 30,000 retries.
  EXPECT_GE(Retries, 1'000);
  EXPECT_LE(Retries, 1'010);
}

// Guards against a large burst of saved retries after a long time without
// failures.
TEST(RetryBudgetTest, savesAtMostTheBurst) {
  RetryBudget Budget = RetryBudget::make({}).value();
  for (int Request = 0; Request < 1'000'000; ++Request)
    Budget.recordFirstAttempt();
  EXPECT_DOUBLE_EQ(Budget.availableRetries(), 10.0);
}

// Guards against the retries after one fault coinciding on all hosts.
TEST(RetryBudgetTest, backoffIsRandomAndBounded) {
  std::set<Milliseconds> DistinctDelays;
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    RetryPolicy Policy;
    Policy.Seed = Seed;
    RetryBudget Budget = RetryBudget::make(Policy).value();
    EXPECT_LE(Budget.backoff(1), Milliseconds(20));
    Milliseconds FourthDelay = Budget.backoff(4);
    EXPECT_LE(FourthDelay, Milliseconds(160));
    DistinctDelays.insert(FourthDelay);
    EXPECT_LE(Budget.backoff(4'000'000'000U), Milliseconds(1'000));
  }
  EXPECT_GT(DistinctDelays.size(), 50U);
}

// Guards against a policy whose values make the budget useless.
TEST(RetryBudgetTest, refusesInvalidPolicy) {
  RetryPolicy Policy;
  Policy.Share = 1.5;
  EXPECT_EQ(RetryBudget::make(Policy).error().place(), "Share");
  Policy = {};
  Policy.MaxBackoff = Milliseconds(1);
  EXPECT_EQ(RetryBudget::make(Policy).error().place(), "FirstBackoff");
}

// Guards against a change of the retry budget taking effect only after a
// restart.
TEST(RetryBudgetSettingTest, shareChangesWhileRunning) {
  auto Budget = RetryBudget::make({.Share = 0.0, .Burst = 10.0}).value();
  while (Budget.tryTakeRetry()) {
  }
  Budget.recordFirstAttempt();
  EXPECT_FALSE(Budget.tryTakeRetry());
  EXPECT_FALSE(Budget.setShare(1.5));
  EXPECT_TRUE(Budget.setShare(1.0));
  Budget.recordFirstAttempt();
  EXPECT_TRUE(Budget.tryTakeRetry());
}

} // namespace
} // namespace jayramp
