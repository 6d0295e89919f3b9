#include "Requests/RetryBudget.h"

#include <gtest/gtest.h>

#include <set>

namespace jayramp {
namespace {

// Guards against retries that multiply the load when everything fails.
TEST(RetryBudgetTest, limitsRetriesToShare) {
  RetryBudget Budget = RetryBudget::make({}).value();
  int Retries = 0;
  for (int Request = 0; Request < 10'000; ++Request) {
    Budget.recordFirstAttempt();
    for (int Try = 0; Try < 3; ++Try)
      if (Budget.tryTakeRetry())
        ++Retries;
  }
  // A share of 0.1 and the initial 10; a naive client makes 30,000.
  EXPECT_GE(Retries, 1'000);
  EXPECT_LE(Retries, 1'010);
}

// Guards against a burst of saved retries after a long quiet time.
TEST(RetryBudgetTest, savesOnlyBurst) {
  RetryBudget Budget = RetryBudget::make({}).value();
  for (int Request = 0; Request < 1'000'000; ++Request)
    Budget.recordFirstAttempt();
  EXPECT_DOUBLE_EQ(Budget.availableRetries(), 10.0);
}

// Guards against retries of one fault that coincide on all hosts.
TEST(RetryBudgetTest, backoffIsSpreadAndBounded) {
  std::set<Milliseconds> Different;
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    RetryPolicy Policy;
    Policy.Seed = Seed;
    RetryBudget Budget = RetryBudget::make(Policy).value();
    EXPECT_LE(Budget.backoff(1), Milliseconds(20));
    Milliseconds Fourth = Budget.backoff(4);
    EXPECT_LE(Fourth, Milliseconds(160));
    Different.insert(Fourth);
    EXPECT_LE(Budget.backoff(4'000'000'000U), Milliseconds(1'000));
  }
  EXPECT_GT(Different.size(), 50U);
}

// Guards against settings that turn the budget off.
TEST(RetryBudgetTest, refusesInvalidPolicy) {
  RetryPolicy Policy;
  Policy.Share = 1.5;
  EXPECT_EQ(RetryBudget::make(Policy).error().place(), "Share");
  Policy = {};
  Policy.MaxBackoff = Milliseconds(1);
  EXPECT_EQ(RetryBudget::make(Policy).error().place(), "FirstBackoff");
}

// Guards against a changed retry budget that takes effect only at a restart.
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
