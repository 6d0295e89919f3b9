#include "Base/Metrics.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

// Guards against histogram buckets that are not cumulative or that lose values
// outside the range of the bins.
TEST(MetricsTest, bucketsAreCumulativeAndCountAllValues) {
  Metrics Registry;
  Registry.observe("wait_seconds", "", std::chrono::microseconds(1));
  Registry.observe("wait_seconds", "", std::chrono::milliseconds(10));
  Registry.observe("wait_seconds", "", std::chrono::seconds(1000));
  std::string Text = Registry.renderText();
  EXPECT_NE(Text.find("wait_seconds_bucket{le=\"+Inf\"} 3"), std::string::npos);
  EXPECT_NE(Text.find("wait_seconds_bucket{le=\"100\"} 2"), std::string::npos);
  EXPECT_NE(Text.find("wait_seconds_count 3"), std::string::npos);
}

// Guards against counting different label values in one series.
TEST(MetricsTest, countsEachLabelValueSeparately) {
  Metrics Registry;
  Registry.count("refused_total", "reason=\"QUEUE_FULL\"");
  Registry.count("refused_total", "reason=\"STOPPING\"", 2);
  EXPECT_EQ(Registry.counter("refused_total", "reason=\"STOPPING\""), 2U);
  EXPECT_EQ(Registry.counter("refused_total", "reason=\"NO_WORKER\""), 0U);
}

} // namespace
} // namespace jayramp
