#include "Jobs/JobStore.h"

#include "FakeObjectStore.h"
#include "FakeTableService.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

auto makeRow(const std::string &Id) -> JobRow {
  JobRow Row;
  Row.Specification = {Id,   "alpha",         12, JobPriority::Urgent,
                       true, Milliseconds(77)};
  Row.Key = "key";
  Row.State = JobRowState::Started;
  Row.Reason = "RECLAIMING";
  Row.Detail = "detail";
  Row.Remedy = "remedy";
  Row.Placement = {{"worker-1", 3, 0}, {"worker-2", 0, -1}};
  Row.Attempt = 4;
  Row.Epoch = 9;
  Row.CancelRequested = true;
  Row.FailedWorkers = {"worker-7"};
  Row.Failures = 2;
  Row.SubmittedMs = 1'700'000'000'000;
  Row.StartedMs = 1'700'000'000'001;
  Row.Payload = std::string("\0\x01\xff{}", 5);
  return Row;
}

struct JobStoreTest : ::testing::Test {
  test::FakeTableService Tables;
  test::FakeObjectStore Objects;
  JobStore Store{Tables, Objects};
};

// Guards against fields that are lost between two schedulers.
TEST_F(JobStoreTest, rowsKeepAllFields) {
  auto Row = makeRow("a");
  auto Written = Store.write("w1", {Row}, 0);
  ASSERT_TRUE(Written);
  auto Read = Store.read("a");
  ASSERT_TRUE(Read && Read.value());
  Row.Version = 1;
  EXPECT_EQ(*Read.value(), Row);
}

// Guards against a repeat of a write whose answer was lost that is taken for
// a conflict with another writer.
TEST_F(JobStoreTest, repeatAfterALostAnswerSucceeds) {
  Tables.loseNextAnswer("jobs");
  auto First = Store.write("w1", {makeRow("a")}, 0);
  ASSERT_FALSE(First);
  EXPECT_EQ(First.error().kind(), ErrorKind::Timeout);
  auto Repeat = Store.write("w1", {makeRow("a")}, 0);
  ASSERT_TRUE(Repeat);
  EXPECT_TRUE(std::holds_alternative<JobWriteSuccess>(Repeat.value()));
}

// Guards against a former scheduler that still writes rows.
TEST_F(JobStoreTest, writesAreFencedByTheView) {
  ASSERT_TRUE(Tables.commit({"v1", {}, {{"membership", "view", 0, "{}"}}}));
  ASSERT_TRUE(Tables.commit({"v2", {}, {{"membership", "view", 1, "{}"}}}));
  auto Old = Store.write("w1", {makeRow("a")}, 1);
  ASSERT_TRUE(Old);
  const auto *Lost = std::get_if<JobWriteConflict>(&Old.value());
  ASSERT_NE(Lost, nullptr);
  EXPECT_TRUE(Lost->ViewChanged);
  EXPECT_EQ(Tables.version("jobs", "a"), 0U);
  auto Current = Store.write("w2", {makeRow("a")}, 2);
  ASSERT_TRUE(Current);
  EXPECT_TRUE(std::holds_alternative<JobWriteSuccess>(Current.value()));
}

// Guards against a batch that is written in part.
TEST_F(JobStoreTest, conflictNamesTheRowAndWritesNothing) {
  ASSERT_TRUE(Store.write("w1", {makeRow("a")}, 0));
  auto Outcome = Store.write("w2", {makeRow("b"), makeRow("a")}, 0);
  ASSERT_TRUE(Outcome);
  const auto *Lost = std::get_if<JobWriteConflict>(&Outcome.value());
  ASSERT_NE(Lost, nullptr);
  EXPECT_FALSE(Lost->ViewChanged);
  ASSERT_EQ(Lost->Current.size(), 1U);
  EXPECT_EQ(Lost->Current[0].Specification.Id, "a");
  EXPECT_EQ(Tables.version("jobs", "b"), 0U);
}

// Guards against readers that miss changes another reader has fetched.
TEST_F(JobStoreTest, eachReaderSeesEachChange) {
  std::uint64_t First = 0;
  std::uint64_t Second = 0;
  ASSERT_TRUE(Store.write("w1", {makeRow("a")}, 0));
  ASSERT_TRUE(Store.refresh());
  EXPECT_EQ(Store.rowsChangedSince(First).size(), 1U);
  EXPECT_EQ(Store.rowsChangedSince(First).size(), 0U);
  ASSERT_TRUE(Store.write("w2", {makeRow("b")}, 0));
  ASSERT_TRUE(Store.refresh());
  EXPECT_EQ(Store.rowsChangedSince(First).size(), 1U);
  EXPECT_EQ(Store.rowsChangedSince(Second).size(), 2U);
}

// Guards against table rows of unbounded size.
TEST_F(JobStoreTest, largePayloadsGoToTheObjectStore) {
  JobRow Small = makeRow("small");
  ASSERT_TRUE(Store.storePayload(Small, std::string(16 * 1024, 'x')));
  EXPECT_EQ(Small.Payload.size(), 16U * 1024U);
  EXPECT_TRUE(Objects.Objects.empty());
  JobRow Large = makeRow("large");
  Large.Payload.clear();
  ASSERT_TRUE(Store.storePayload(Large, std::string(16 * 1024 + 1, 'x')));
  EXPECT_TRUE(Large.Payload.empty());
  EXPECT_EQ(Objects.fetch(Large.PayloadKey).value().size(), 16U * 1024U + 1U);
}

// Guards against two accounts whose keys run together into one job.
TEST_F(JobStoreTest, idsDependOnAccountAndKey) {
  EXPECT_EQ(JobStore::jobId("a", "b"), JobStore::jobId("a", "b"));
  EXPECT_NE(JobStore::jobId("ab", "c"), JobStore::jobId("a", "bc"));
  EXPECT_NE(JobStore::jobId("1:a", "b"), JobStore::jobId("1", ":ab"));
}

TEST_F(JobStoreTest, topologyIsFencedByTheView) {
  ASSERT_TRUE(Tables.commit({"v1", {}, {{"membership", "view", 0, "{}"}}}));
  EXPECT_TRUE(Store.readTopology().value().empty());
  const std::vector<WorkerDescription> Workers{{"w", "", "zone", "rack", 8}};
  EXPECT_FALSE(Store.publishTopology(Workers, 7));
  EXPECT_TRUE(Store.publishTopology(Workers, 1));
  EXPECT_EQ(Store.readTopology().value(), Workers);
}

} // namespace
} // namespace jayramp
