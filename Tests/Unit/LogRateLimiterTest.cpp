#include "Base/LogRateLimiter.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace jayramp {
namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr std::size_t LineBytes = 200;

class LogRateLimiterTest : public testing::Test {
protected:
  /// Returns whether the line was written.
  auto log(LogLevel Level, const std::string &Id, TimePoint Now) -> bool {
    if (!Limiter.admit(Level, Id, Now))
      return false;
    Limiter.recordWritten(LineBytes);
    return true;
  }

  LogRateLimiter Limiter{{.Lines = 100, .Bytes = 1U << 20U}};
};

// Guards against a burst of events, such as refused requests, whose log lines
// fill the disk and use up the processor.
TEST_F(LogRateLimiterTest, limitsTheLinesOfABurst) {
  int WrittenLines = 0;
  int DroppedLines = 0;
  for (int Number = 0; Number < 100000; ++Number)
    ++(log(LogLevel::Info, "job" + std::to_string(Number), Start)
           ? WrittenLines
           : DroppedLines);
  EXPECT_GT(WrittenLines, 50);
  EXPECT_LE(WrittenLines, 80);
  EXPECT_EQ(Limiter.takeDroppedLines(Start), DroppedLines);
  EXPECT_EQ(Limiter.takeDroppedLines(Start), 0U);
}

TEST_F(LogRateLimiterTest, limitsTheBytesOfABurst) {
  LogRateLimiter SmallLimiter({.Lines = 100000, .Bytes = 10 * LineBytes});
  int WrittenLines = 0;
  for (int Number = 0; Number < 1000; ++Number)
    if (SmallLimiter.admit(LogLevel::Error, {}, Start)) {
      SmallLimiter.recordWritten(LineBytes);
      ++WrittenLines;
    }
  EXPECT_EQ(WrittenLines, 10);
}

// Guards against logs in which only some of the lines about a request or job
// are missing.
TEST_F(LogRateLimiterTest, keepsOrDropsAllLinesOfAnId) {
  std::map<std::string, std::set<bool>> ResultsById;
  for (int Second = 0; Second < 5; ++Second) {
    TimePoint Now = Start + Second * Milliseconds(1000);
    for (int Number = 0; Number < 50; ++Number)
      log(LogLevel::Info, "first" + std::to_string(Number), Now);
    for (int Number = 0; Number < 60; ++Number) {
      auto Id = "id" + std::to_string(Number);
      ResultsById[Id].insert(log(LogLevel::Info, Id, Now));
    }
  }
  int KeptIds = 0;
  for (const auto &[Id, Results] : ResultsById) {
    EXPECT_EQ(Results.size(), 1U) << Id;
    KeptIds += *Results.begin();
  }
  EXPECT_GT(KeptIds, 5);
}

TEST_F(LogRateLimiterTest, writesWarningsDuringABurst) {
  for (int Number = 0; Number < 1000; ++Number)
    log(LogLevel::Info, "job" + std::to_string(Number), Start);
  EXPECT_TRUE(log(LogLevel::Warning, "late", Start));
}

TEST_F(LogRateLimiterTest, resetsTheLimitsEverySecond) {
  for (int Number = 0; Number < 1000; ++Number)
    log(LogLevel::Error, {}, Start);
  EXPECT_FALSE(log(LogLevel::Error, {}, Start + Milliseconds(999)));
  EXPECT_TRUE(log(LogLevel::Error, {}, Start + Milliseconds(1000)));
}

} // namespace
} // namespace jayramp
