#include "Base/EventLog.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

// Guards against values that split a line or add keys to it.
TEST(EventLogTest, quotesValuesThatWouldBreakTheLine) {
  EXPECT_EQ(formatEvent("request_done",
                        {{"key", "a b"}, {"detail", "x=\"1\"\n"}, {"n", "3"}}),
            "event=request_done key=\"a b\" detail=\"x=\\\"1\\\"\\n\" n=3");
}

} // namespace
} // namespace jayramp
