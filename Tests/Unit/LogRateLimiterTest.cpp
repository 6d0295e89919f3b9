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
  auto log(LogLevel Level, const std::string &Id, TimePoint Now) -> bool {
    if (!Budget.admit(Level, Id, Now))
      return false;
    Budget.recordWritten(LineBytes);
    return true;
  }

  LogRateLimiter Budget{{.Lines = 100, .Bytes = 1U << 20U}};
};

// Guards against a storm of refusals that fills disks and processors.
TEST_F(LogRateLimiterTest, stormStaysInTheBudget) {
  int Written = 0;
  int LeftOut = 0;
  for (int Number = 0; Number < 100000; ++Number)
    ++(log(LogLevel::Info, "job" + std::to_string(Number), Start) ? Written
                                                                  : LeftOut);
  EXPECT_GT(Written, 50);
  EXPECT_LE(Written, 80);
  EXPECT_EQ(Budget.takeDroppedLines(Start), LeftOut);
  EXPECT_EQ(Budget.takeDroppedLines(Start), 0U);
}

TEST_F(LogRateLimiterTest, bytesCountAsLinesDo) {
  LogRateLimiter Small({.Lines = 100000, .Bytes = 10 * LineBytes});
  int Written = 0;
  for (int Number = 0; Number < 1000; ++Number)
    if (Small.admit(LogLevel::Error, {}, Start)) {
      Small.recordWritten(LineBytes);
      ++Written;
    }
  EXPECT_EQ(Written, 10);
}

// Guards against stories of which every second line is missing.
TEST_F(LogRateLimiterTest, linesOfOneIdAreKeptTogether) {
  std::map<std::string, std::set<bool>> Seen;
  for (int Second = 0; Second < 5; ++Second) {
    TimePoint Now = Start + Second * Milliseconds(1000);
    for (int Number = 0; Number < 50; ++Number)
      log(LogLevel::Info, "first" + std::to_string(Number), Now);
    for (int Number = 0; Number < 60; ++Number) {
      auto Id = "id" + std::to_string(Number);
      Seen[Id].insert(log(LogLevel::Info, Id, Now));
    }
  }
  int Kept = 0;
  for (const auto &[Id, Answers] : Seen) {
    EXPECT_EQ(Answers.size(), 1U) << Id;
    Kept += *Answers.begin();
  }
  EXPECT_GT(Kept, 5);
}

TEST_F(LogRateLimiterTest, warningsAreWrittenInAStorm) {
  for (int Number = 0; Number < 1000; ++Number)
    log(LogLevel::Info, "job" + std::to_string(Number), Start);
  EXPECT_TRUE(log(LogLevel::Warning, "late", Start));
}

TEST_F(LogRateLimiterTest, eachSecondHasItsOwnBudget) {
  for (int Number = 0; Number < 1000; ++Number)
    log(LogLevel::Error, {}, Start);
  EXPECT_FALSE(log(LogLevel::Error, {}, Start + Milliseconds(999)));
  EXPECT_TRUE(log(LogLevel::Error, {}, Start + Milliseconds(1000)));
}

} // namespace
} // namespace jayramp
