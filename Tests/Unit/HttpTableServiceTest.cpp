#include "Platform/HttpTableService.h"

#include "Base/Metrics.h"
#include "EndToEnd/StandIn.h"
#include "Platform/TableTransaction.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

namespace jayramp {
namespace {

constexpr Milliseconds Timeout{1000};

class HttpTableServiceTest : public testing::Test {
protected:
  auto writeRow(const std::string &WriteId, std::uint64_t ExpectedVersion,
                const std::string &Value) -> Result<CommitResult> {
    return Table->commit(
        {WriteId, {}, {{"jobs", "a/b c%", ExpectedVersion, Value}}});
  }

  auto writeCount(const char *Operation) -> std::uint64_t {
    return Platform.record().at("writes").at(Operation).as_number().to_uint64();
  }

  Metrics Registry;
  StandIn Platform = StandIn::startPlatform();
  std::unique_ptr<HttpTableService> Table =
      HttpTableService::create(Platform.address(), Timeout, Registry).value();
};

// Guards against keys and values that are altered in transit.
TEST_F(HttpTableServiceTest, readReturnsTheWrittenRow) {
  EXPECT_EQ(Table->read("jobs", "a/b c%").value(), std::nullopt);
  std::string Value = "{\"x\":\"\\u00e9 \xc3\xa9\"}\n\t";
  CommitResult Expected = TransactionCommitted{{1}};
  EXPECT_EQ(writeRow("w1", 0, Value).value(), Expected);
  TableRow Row{"a/b c%", 1, "w1", Value};
  EXPECT_EQ(Table->read("jobs", "a/b c%").value(), Row);
}

// Guards against changes that are missed or returned twice.
TEST_F(HttpTableServiceTest, changesReturnsRowsAfterARevision) {
  ASSERT_TRUE(writeRow("w1", 0, "1").has_value());
  TableChanges First = Table->changes("jobs", 0).value();
  ASSERT_EQ(First.Rows.size(), 1U);
  EXPECT_TRUE(Table->changes("jobs", First.Revision).value().Rows.empty());
  ASSERT_TRUE(writeRow("w2", 1, "2").has_value());
  TableChanges Second = Table->changes("jobs", First.Revision).value();
  std::vector<TableRow> Expected{{"a/b c%", 2, "w2", "2"}};
  EXPECT_EQ(Second.Rows, Expected);
}

// Guards against a conflict that does not tell the writer the current version.
TEST_F(HttpTableServiceTest, conflictContainsTheCurrentRow) {
  ASSERT_TRUE(writeRow("w1", 0, "1").has_value());
  CommitResult Expected =
      TransactionConflict{{{"jobs", TableRow{"a/b c%", 1, "w1", "1"}}}};
  EXPECT_EQ(writeRow("w2", 0, "2").value(), Expected);
}

// Guards against a transaction of which only some writes are applied.
TEST_F(HttpTableServiceTest, commitAppliesAllWritesOrNone) {
  ASSERT_TRUE(writeRow("w1", 0, "1").has_value());
  CommitResult Outcome =
      Table
          ->commit({"w2",
                    {{"view", "v", 7}},
                    {{"jobs", "a/b c%", 1, "2"}, {"jobs", "other", 0, "2"}}})
          .value();
  EXPECT_TRUE(std::holds_alternative<TransactionConflict>(Outcome));
  EXPECT_EQ(Table->read("jobs", "a/b c%").value()->Value, "1");
  EXPECT_EQ(Table->read("jobs", "other").value(), std::nullopt);
}

// Guards against a write that is applied twice because its response was lost.
TEST_F(HttpTableServiceTest, commitIsAppliedOnceIfTheResponseIsLost) {
  Platform.control(R"({"lose_answers":0.5})");
  std::uint64_t Version = 0;
  for (int Index = 0; Index < 40; ++Index) {
    std::string WriteId = "w" + std::to_string(Index);
    auto Written = writeRow(WriteId, Version, "x");
    // Both attempts of a commit may lose their response; the caller then
    // repeats the commit.
    while (!Written.has_value()) {
      ASSERT_EQ(Written.error().kind(), ErrorKind::Timeout);
      Written = writeRow(WriteId, Version, "x");
    }
    ++Version;
    CommitResult Expected = TransactionCommitted{{Version}};
    ASSERT_EQ(Written.value(), Expected);
  }
  EXPECT_EQ(writeCount("commit"), 40U);
  EXPECT_GT(writeCount("commit_repeated"), 0U);
}

// Guards against a call on a connection without responses that takes longer
// than its timeout, and against later calls that use such a connection again.
TEST_F(HttpTableServiceTest, callEndsAtTheTimeoutAndTheNextOneReconnects) {
  ASSERT_TRUE(writeRow("w1", 0, "1").has_value());
  Platform.control(R"({"silent":true})");
  TimePoint Start = Clock::now();
  auto Written = writeRow("w2", 1, "2");
  auto Duration = Clock::now() - Start;
  ASSERT_FALSE(Written.has_value());
  EXPECT_EQ(Written.error().kind(), ErrorKind::Timeout);
  EXPECT_GE(Duration, Timeout - Milliseconds(10));
  EXPECT_LT(Duration, Timeout + Milliseconds(200));
  EXPECT_EQ(Table->read("jobs", "x").error().kind(), ErrorKind::Unavailable);
  Platform.control(R"({"silent":false})");
  EXPECT_TRUE(Table->read("jobs", "x").has_value());
}

// Guards against a commit that fails because its connection gives no response,
// although a retry on a new connection would succeed.
TEST_F(HttpTableServiceTest, unansweredCommitIsRetriedOnANewConnection) {
  ASSERT_TRUE(writeRow("w1", 0, "1").has_value());
  Platform.control(R"({"silent":true})");
  Platform.control(R"({"silent":false})");
  CommitResult Expected = TransactionCommitted{{2}};
  EXPECT_EQ(writeRow("w2", 1, "2").value(), Expected);
  EXPECT_EQ(Registry.counter("table_commit_repeats_total"), 1U);
}

// Guards against an outage that is reported as a write that may have taken
// effect.
TEST_F(HttpTableServiceTest, callIsUnavailableIfNothingWasSent) {
  Platform.process().kill();
  EXPECT_EQ(writeRow("w1", 0, "1").error().kind(), ErrorKind::Unavailable);
  EXPECT_EQ(Table->read("jobs", "x").error().kind(), ErrorKind::Unavailable);
}

} // namespace
} // namespace jayramp
