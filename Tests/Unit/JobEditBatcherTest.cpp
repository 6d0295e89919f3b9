#include "Jobs/JobEditBatcher.h"

#include "Base/Metrics.h"
#include "FakeObjectStore.h"
#include "FakeTableService.h"
#include "Jobs/JobStore.h"

#include <gtest/gtest.h>

#include <future>
#include <vector>

namespace jayramp {
namespace {

using WriteStatus = JobEditResult::WriteStatus;

struct JobEditBatcherTest : ::testing::Test {
  auto add(const std::string &Id) -> std::future<JobEditResult> {
    auto Promise = std::make_shared<std::promise<JobEditResult>>();
    JobRow Row;
    Row.Specification.Id = Id;
    Writes.add(
        Id,
        [Row](const std::optional<JobRow> &Known) {
          return Known ? std::nullopt : std::optional<JobRow>(Row);
        },
        [Promise](const JobEditResult &Result) { Promise->set_value(Result); });
    return Promise->get_future();
  }

  test::FakeTableService Tables;
  test::FakeObjectStore Objects;
  JobStore Store{Tables, Objects};
  Metrics Counters;
  JobEditBatcher Writes{Store, Counters, Milliseconds(300)};
};

// Guards against waves that need one transaction for each job.
TEST_F(JobEditBatcherTest, editsThatArriveTogetherShareTransactions) {
  std::vector<std::future<JobEditResult>> Results;
  for (int Job = 0; Job < 1000; ++Job)
    Results.push_back(add("job-" + std::to_string(Job)));
  for (auto &Result : Results)
    EXPECT_EQ(Result.get().Status, WriteStatus::Written);
  EXPECT_LE(Tables.Writes.load(), 30);
}

// Guards against a repeated submission that is written twice.
TEST_F(JobEditBatcherTest, editOfAKnownRowIsUnchanged) {
  EXPECT_EQ(add("a").get().Status, WriteStatus::Written);
  auto Repeat = add("a").get();
  EXPECT_EQ(Repeat.Status, WriteStatus::Unchanged);
  ASSERT_TRUE(Repeat.Row);
  EXPECT_EQ(Repeat.Row->Specification.Id, "a");
}

// Guards against "not run" for a job that was stored.
TEST_F(JobEditBatcherTest, lostAnswerIsRepeatedAndSucceeds) {
  Tables.loseNextAnswer("jobs");
  EXPECT_EQ(add("a").get().Status, WriteStatus::Written);
}

TEST_F(JobEditBatcherTest, outageWithoutEffectIsNotWritten) {
  Tables.Down = true;
  auto Result = add("a").get();
  EXPECT_EQ(Result.Status, WriteStatus::NotWritten);
  EXPECT_TRUE(Result.Failure);
}

// Guards against "not run" when the store fails after it may have taken a
// write.
TEST_F(JobEditBatcherTest, outageAfterALostAnswerIsUnknown) {
  Tables.loseNextAnswer("jobs");
  Tables.DelayMs = 60;
  auto Result = add("a");
  std::this_thread::sleep_for(Milliseconds(140)); // After the write began.
  Tables.Down = true;
  EXPECT_EQ(Result.get().Status, WriteStatus::Unknown);
}

} // namespace
} // namespace jayramp
