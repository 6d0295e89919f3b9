#include "Requests/WorkClassPolicy.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

const std::optional<WorkClass> Short = WorkClass::Short;

// Guards against long work that runs as short because it is declared so.
TEST(WorkClassPolicyTest, observationOverridesDeclaration) {
  auto Policy = WorkClassPolicy::make(Milliseconds(1'000)).value();
  EXPECT_EQ(Policy.classify("acme", Short), WorkClass::Short);
  EXPECT_EQ(Policy.classify("acme", WorkClass::Long), WorkClass::Long);
  EXPECT_EQ(Policy.classify("acme", std::nullopt), WorkClass::Short);
  for (int Run = 0; Run < 5; ++Run)
    Policy.recordRunTime("acme", Short, Milliseconds(5'000));
  EXPECT_EQ(Policy.classify("acme", Short), WorkClass::Long);
  EXPECT_NEAR(Policy.expectedRunSeconds("acme", Short), 5.0, 0.01);
  EXPECT_EQ(Policy.classify("other", Short), WorkClass::Short);
}

// Guards against an account that stays in the long class after its work
// changed, and against a class that changes with single outliers.
TEST(WorkClassPolicyTest, followsChangesButNotOutliers) {
  auto Policy = WorkClassPolicy::make(Milliseconds(1'000)).value();
  for (int Run = 0; Run < 50; ++Run) {
    Policy.recordRunTime("acme", Short,
                         Milliseconds(Run % 10 == 9 ? 5'000 : 10));
    EXPECT_EQ(Policy.classify("acme", Short), WorkClass::Short) << Run;
  }
  for (int Run = 0; Run < 20; ++Run)
    Policy.recordRunTime("acme", Short, Milliseconds(5'000));
  EXPECT_EQ(Policy.classify("acme", Short), WorkClass::Long);
  for (int Run = 0; Run < 20; ++Run)
    Policy.recordRunTime("acme", Short, Milliseconds(10));
  EXPECT_EQ(Policy.classify("acme", Short), WorkClass::Short);
}

// Guards against a changed short limit that takes effect only at a restart.
TEST(WorkClassPolicySettingTest, shortLimitChangesWhileRunning) {
  auto Policy = WorkClassPolicy::make(Milliseconds(250)).value();
  EXPECT_FALSE(Policy.setShortLimit(Milliseconds(0)));
  EXPECT_TRUE(Policy.setShortLimit(Milliseconds(50)));
  for (int Run = 0; Run < 20; ++Run)
    Policy.recordRunTime("acme", WorkClass::Short, Milliseconds(100));
  EXPECT_EQ(Policy.classify("acme", WorkClass::Short), WorkClass::Long);
}

} // namespace
} // namespace jayramp
