#include "Shard/SessionSchedule.h"

#include <gtest/gtest.h>

namespace jayramp::shard {
namespace {

auto at(int Ms) -> TimePoint { return TimePoint(Milliseconds(Ms)); }

using Workers = std::vector<std::string>;

TEST(SessionScheduleTest, returnsDueWorkersOnceAndEarliestFirst) {
  SessionSchedule Schedule;
  Schedule.setDue("a", at(30));
  Schedule.setDue("b", at(10));
  Schedule.setDue("c", at(20));
  EXPECT_EQ(Schedule.earliestDue(), at(10));
  EXPECT_EQ(Schedule.takeDue(at(20)), (Workers{"b", "c"}));
  EXPECT_EQ(Schedule.takeDue(at(20)), Workers{});
  EXPECT_EQ(Schedule.earliestDue(), at(30));
}

// Guards against visiting a worker at a time that a later one has replaced.
TEST(SessionScheduleTest, replacesTheDueTime) {
  SessionSchedule Schedule;
  Schedule.setDue("a", at(10));
  Schedule.setDue("a", at(50));
  EXPECT_EQ(Schedule.takeDue(at(40)), Workers{});
  Schedule.setDue("a", at(20));
  EXPECT_EQ(Schedule.takeDue(at(40)), Workers{"a"});
}

TEST(SessionScheduleTest, forgetsARemovedWorker) {
  SessionSchedule Schedule;
  Schedule.setDue("a", at(10));
  Schedule.remove("a");
  EXPECT_EQ(Schedule.earliestDue(), TimePoint::max());
}

// Guards against a start that is never sent because its worker waits for the
// commits of two jobs.
TEST(SessionScheduleTest, returnsTheWorkersThatAwaitACommittedJob) {
  SessionSchedule Schedule;
  Schedule.awaitCommit("a", "job1");
  Schedule.awaitCommit("a", "job2");
  Schedule.awaitCommit("b", "job2");
  EXPECT_EQ(Schedule.takeAwaiting({"job1"}), std::set<std::string>{"a"});
  EXPECT_EQ(Schedule.takeAwaiting({"job1"}), std::set<std::string>{});
  EXPECT_EQ(Schedule.takeAwaiting({"job2", "job3"}),
            (std::set<std::string>{"a", "b"}));
}

} // namespace
} // namespace jayramp::shard
