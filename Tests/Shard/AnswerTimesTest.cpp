#include "Shard/AnswerTimes.h"

#include <gtest/gtest.h>

namespace jayramp::shard {
namespace {

class AnswerTimesTest : public testing::Test {
protected:
  static constexpr Milliseconds Shortest{400};
  static constexpr Milliseconds Longest{1200};

  auto recordAnswers(unsigned Count, Milliseconds Elapsed) -> void {
    for (unsigned Answer = 0; Answer < Count; ++Answer)
      Times.recordAnswer(Elapsed);
  }

  AnswerTimes Times{Shortest, Longest};
};

TEST_F(AnswerTimesTest, beginsWithTheShortestTimeout) {
  EXPECT_EQ(Times.timeout(), Shortest);
}

TEST_F(AnswerTimesTest, fastAnswersKeepTheShortestTimeout) {
  recordAnswers(100, Milliseconds(5));
  EXPECT_EQ(Times.timeout(), Shortest);
}

// Guards against orders that are given up although half of the answers take
// longer than the shortest timeout.
TEST_F(AnswerTimesTest, slowAnswersAreAwaited) {
  for (unsigned Answer = 0; Answer < 20; ++Answer)
    recordAnswers(1, Milliseconds(Answer % 2 == 0 ? 300 : 700));
  EXPECT_GT(Times.timeout(), Milliseconds(700));
  EXPECT_LE(Times.timeout(), Longest);
}

// Guards against a timeout that stays too short because no answer comes in it.
TEST_F(AnswerTimesTest, timeoutsAloneLengthenTheTimeout) {
  for (unsigned Order = 0; Order < 10; ++Order)
    Times.recordTimeout(Times.timeout());
  EXPECT_EQ(Times.timeout(), Longest);
}

// Guards against a long timeout that outlasts the load that caused it.
TEST_F(AnswerTimesTest, returnsToTheShortestTimeoutWithFastAnswers) {
  recordAnswers(50, Milliseconds(1100));
  EXPECT_GE(Times.timeout(), Milliseconds(1100));
  recordAnswers(50, Milliseconds(5));
  EXPECT_EQ(Times.timeout(), Shortest);
}

} // namespace
} // namespace jayramp::shard
