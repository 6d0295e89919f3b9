#include "Requests/WorkClassPolicy.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

const std::optional<WorkClass> DeclaredShort = WorkClass::Short;

// Guards against long work being treated as short because it is declared short.
TEST(WorkClassPolicyTest, recordedRunTimesOverrideDeclaration) {
  auto Policy = WorkClassPolicy::make(Milliseconds(1'000)).value();
  EXPECT_EQ(Policy.classify("acme", DeclaredShort), WorkClass::Short);
  EXPECT_EQ(Policy.classify("acme", WorkClass::Long), WorkClass::Long);
  EXPECT_EQ(Policy.classify("acme", std::nullopt), WorkClass::Short);
  for (int Run = 0; Run < 5; ++Run)
    Policy.recordRunTime("acme", DeclaredShort, Milliseconds(5'000));
  EXPECT_EQ(Policy.classify("acme", DeclaredShort), WorkClass::Long);
  EXPECT_NEAR(Policy.expectedRunSeconds("acme", DeclaredShort), 5.0, 0.01);
  EXPECT_EQ(Policy.classify("other", DeclaredShort), WorkClass::Short);
}

// Guards against an account staying in the long class after its work has become
// short, and against single outliers changing the class.
TEST(WorkClassPolicyTest, classFollowsChangesButNotOutliers) {
  auto Policy = WorkClassPolicy::make(Milliseconds(1'000)).value();
  for (int Run = 0; Run < 50; ++Run) {
    Policy.recordRunTime("acme", DeclaredShort,
                         Milliseconds(Run % 10 == 9 ? 5'000 : 10));
    EXPECT_EQ(Policy.classify("acme", DeclaredShort), WorkClass::Short) << Run;
  }
  for (int Run = 0; Run < 20; ++Run)
    Policy.recordRunTime("acme", DeclaredShort, Milliseconds(5'000));
  EXPECT_EQ(Policy.classify("acme", DeclaredShort), WorkClass::Long);
  for (int Run = 0; Run < 20; ++Run)
    Policy.recordRunTime("acme", DeclaredShort, Milliseconds(10));
  EXPECT_EQ(Policy.classify("acme", DeclaredShort), WorkClass::Short);
}

// Guards against a change of the short limit taking effect only after a
// restart.
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
