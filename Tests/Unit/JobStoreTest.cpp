#include "Jobs/JobStore.h"

#include "FakeObjectStore.h"
#include "FakeTableService.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

auto makeRowWithAllFields(const std::string &Id) -> JobRow {
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

// Guards against fields that are not stored, which a new scheduler would lose.
TEST_F(JobStoreTest, readReturnsAllFieldsOfAWrittenRow) {
  auto Row = makeRowWithAllFields("a");
  auto WriteResult = Store.write("w1", {Row}, 0);
  ASSERT_TRUE(WriteResult);
  auto Read = Store.read("a");
  ASSERT_TRUE(Read && Read.value());
  Row.Version = 1;
  EXPECT_EQ(*Read.value(), Row);
}

// Guards against a repeated write that is treated as a conflict with another
// writer although the first one took effect and only its reply was lost.
TEST_F(JobStoreTest, repeatedWriteAfterALostReplySucceeds) {
  Tables.loseNextAnswer("jobs");
  auto First = Store.write("w1", {makeRowWithAllFields("a")}, 0);
  ASSERT_FALSE(First);
  EXPECT_EQ(First.error().kind(), ErrorKind::Timeout);
  auto Repeated = Store.write("w1", {makeRowWithAllFields("a")}, 0);
  ASSERT_TRUE(Repeated);
  EXPECT_TRUE(std::holds_alternative<JobWriteSuccess>(Repeated.value()));
}

// Guards against a former scheduler that still changes rows.
TEST_F(JobStoreTest, writeUnderAnOldViewHasNoEffect) {
  ASSERT_TRUE(Tables.commit({"v1", {}, {{"membership", "view", 0, "{}"}}}));
  ASSERT_TRUE(Tables.commit({"v2", {}, {{"membership", "view", 1, "{}"}}}));
  auto OldViewWrite = Store.write("w1", {makeRowWithAllFields("a")}, 1);
  ASSERT_TRUE(OldViewWrite);
  const auto *Conflict = std::get_if<JobWriteConflict>(&OldViewWrite.value());
  ASSERT_NE(Conflict, nullptr);
  EXPECT_TRUE(Conflict->ViewChanged);
  EXPECT_EQ(Tables.version("jobs", "a"), 0U);
  auto CurrentViewWrite = Store.write("w2", {makeRowWithAllFields("a")}, 2);
  ASSERT_TRUE(CurrentViewWrite);
  EXPECT_TRUE(
      std::holds_alternative<JobWriteSuccess>(CurrentViewWrite.value()));
}

// Guards against a batch of which only some rows are written.
TEST_F(JobStoreTest, conflictReturnsTheStoredRowAndWritesNothing) {
  ASSERT_TRUE(Store.write("w1", {makeRowWithAllFields("a")}, 0));
  auto Outcome = Store.write(
      "w2", {makeRowWithAllFields("b"), makeRowWithAllFields("a")}, 0);
  ASSERT_TRUE(Outcome);
  const auto *Conflict = std::get_if<JobWriteConflict>(&Outcome.value());
  ASSERT_NE(Conflict, nullptr);
  EXPECT_FALSE(Conflict->ViewChanged);
  ASSERT_EQ(Conflict->CurrentRows.size(), 1U);
  EXPECT_EQ(Conflict->CurrentRows[0].Specification.Id, "a");
  EXPECT_EQ(Tables.version("jobs", "b"), 0U);
}

// Guards against readers that miss changes because another reader has read them
// before.
TEST_F(JobStoreTest, eachReaderGetsEveryChange) {
  std::uint64_t FirstCursor = 0;
  std::uint64_t SecondCursor = 0;
  ASSERT_TRUE(Store.write("w1", {makeRowWithAllFields("a")}, 0));
  ASSERT_TRUE(Store.refresh());
  EXPECT_EQ(Store.rowsChangedSince(FirstCursor).size(), 1U);
  EXPECT_EQ(Store.rowsChangedSince(FirstCursor).size(), 0U);
  ASSERT_TRUE(Store.write("w2", {makeRowWithAllFields("b")}, 0));
  ASSERT_TRUE(Store.refresh());
  EXPECT_EQ(Store.rowsChangedSince(FirstCursor).size(), 1U);
  EXPECT_EQ(Store.rowsChangedSince(SecondCursor).size(), 2U);
}

// Guards against table rows of unlimited size.
TEST_F(JobStoreTest, largePayloadIsStoredInTheObjectStore) {
  JobRow Small = makeRowWithAllFields("small");
  ASSERT_TRUE(Store.storePayload(Small, std::string(16 * 1024, 'x')));
  EXPECT_EQ(Small.Payload.size(), 16U * 1024U);
  EXPECT_TRUE(Objects.Objects.empty());
  JobRow Large = makeRowWithAllFields("large");
  Large.Payload.clear();
  ASSERT_TRUE(Store.storePayload(Large, std::string(16 * 1024 + 1, 'x')));
  EXPECT_TRUE(Large.Payload.empty());
  EXPECT_EQ(Objects.fetch(Large.PayloadKey).value().size(), 16U * 1024U + 1U);
}

// Guards against one id for jobs of two accounts, if account and key together
// form the same text.
TEST_F(JobStoreTest, jobIdDependsOnAccountAndKey) {
  EXPECT_EQ(JobStore::jobId("a", "b"), JobStore::jobId("a", "b"));
  EXPECT_NE(JobStore::jobId("ab", "c"), JobStore::jobId("a", "bc"));
  EXPECT_NE(JobStore::jobId("1:a", "b"), JobStore::jobId("1", ":ab"));
}

// Guards against a former scheduler that overwrites the published topology.
TEST_F(JobStoreTest, topologyIsOnlyPublishedUnderTheCurrentView) {
  ASSERT_TRUE(Tables.commit({"v1", {}, {{"membership", "view", 0, "{}"}}}));
  EXPECT_TRUE(Store.readTopology().value().empty());
  const std::vector<WorkerDescription> Workers{{"w", "", "zone", "rack", 8}};
  EXPECT_FALSE(Store.publishTopology(Workers, 7));
  EXPECT_TRUE(Store.publishTopology(Workers, 1));
  EXPECT_EQ(Store.readTopology().value(), Workers);
}

} // namespace
} // namespace jayramp
