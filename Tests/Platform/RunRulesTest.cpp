#include "RunRules.h"

#include <gtest/gtest.h>

namespace jayramp::platform_test {
namespace {

using Entry = review::RunHistory::Entry;

/// Two runs of one task on two workers; the first ends as done at 200 ms,
/// before the second starts at 1000 ms.
class RunRulesTest : public testing::Test {
protected:
  auto findings() const -> std::size_t {
    return RunRules::findings({First, Second}, 5000).size();
  }

  Entry First{"job.0.0.0", 1, "w1", 100, 200, "done", {}, {}};
  Entry Second{"job.0.0.0", 2, "w2", 1000, 1500, "done", {}, {}};
};

TEST_F(RunRulesTest, permitsARepeatAfterAnEndThatIsNeverAcknowledged) {
  EXPECT_EQ(findings(), 0U);
}

TEST_F(RunRulesTest, findsARepeatAfterAnAcknowledgedEnd) {
  First.AcknowledgedMs = 300;
  EXPECT_EQ(findings(), 1U);
}

TEST_F(RunRulesTest, findsARepeatBeforeAnAcknowledgementWithoutALapse) {
  First.AcknowledgedMs = 2000;
  EXPECT_EQ(findings(), 1U);
  First.LeaseLapsedMs = 3000;
  EXPECT_EQ(findings(), 1U);
}

TEST_F(RunRulesTest, permitsAnAcknowledgementAfterALapse) {
  First.LeaseLapsedMs = 900;
  First.AcknowledgedMs = 2000;
  EXPECT_EQ(findings(), 0U);
}

TEST_F(RunRulesTest, findsRunsThatOverlap) {
  First.EndMs = 1200;
  EXPECT_EQ(findings(), 1U);
}

} // namespace
} // namespace jayramp::platform_test
