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
  /// Adds an edit that inserts the row unless it exists.
  auto addInsert(const std::string &Id) -> std::future<JobEditResult> {
    auto Promise = std::make_shared<std::promise<JobEditResult>>();
    JobRow Row;
    Row.Specification.Id = Id;
    Batcher.add(
        Id,
        [Row](const std::optional<JobRow> &Current) {
          return Current ? std::nullopt : std::optional<JobRow>(Row);
        },
        [Promise](const JobEditResult &Result) { Promise->set_value(Result); });
    return Promise->get_future();
  }

  test::FakeTableService Tables;
  test::FakeObjectStore Objects;
  JobStore Store{Tables, Objects};
  Metrics Counters;
  JobEditBatcher Batcher{Store, Counters, Milliseconds(300)};
};

// Guards against bursts of submissions that need one transaction for each job.
TEST_F(JobEditBatcherTest, editsQueuedTogetherShareTransactions) {
  std::vector<std::future<JobEditResult>> Results;
  for (int Job = 0; Job < 1000; ++Job)
    Results.push_back(addInsert("job-" + std::to_string(Job)));
  for (auto &Result : Results)
    EXPECT_EQ(Result.get().Status, WriteStatus::Written);
  EXPECT_LE(Tables.Writes.load(), 30);
}

// Guards against a repeated submission that overwrites the job.
TEST_F(JobEditBatcherTest, repeatedInsertLeavesTheRowUnchanged) {
  EXPECT_EQ(addInsert("a").get().Status, WriteStatus::Written);
  auto Repeated = addInsert("a").get();
  EXPECT_EQ(Repeated.Status, WriteStatus::Unchanged);
  ASSERT_TRUE(Repeated.Row);
  EXPECT_EQ(Repeated.Row->Specification.Id, "a");
}

// Guards against a job that is stored but reported as NotWritten because the
// reply of the store was lost.
TEST_F(JobEditBatcherTest, writeIsRepeatedAfterALostReply) {
  Tables.loseNextAnswer("jobs");
  EXPECT_EQ(addInsert("a").get().Status, WriteStatus::Written);
}

// Guards against an outage that is reported as Unknown although no write can
// have taken effect, and against a missing reason.
TEST_F(JobEditBatcherTest, editDuringAStoreOutageIsNotWritten) {
  Tables.Down = true;
  auto Result = addInsert("a").get();
  EXPECT_EQ(Result.Status, WriteStatus::NotWritten);
  EXPECT_TRUE(Result.Failure);
}

// Guards against NotWritten for an edit that may have taken effect because the
// store fails after a lost reply.
TEST_F(JobEditBatcherTest, storeOutageAfterALostReplyIsUnknown) {
  Tables.loseNextAnswer("jobs");
  Tables.DelayMs = 60;
  auto Result = addInsert("a");
  std::this_thread::sleep_for(Milliseconds(140)); // The write has begun.
  Tables.Down = true;
  EXPECT_EQ(Result.get().Status, WriteStatus::Unknown);
}

} // namespace
} // namespace jayramp
