#include "ShardFixture.h"

#include "Store/BatchingStore.h"

namespace jayramp::test {
namespace {

using store::RowTransaction;
using store::TransactionCommitted;
using store::TransactionConflict;
using store::TransactionOutcome;

class BatchingStoreTest : public ShardFixture {
protected:
  static auto keyOf(const std::string &Key) -> store::RowKey {
    return {"jobs", "partition", Key};
  }

  /// Creates a row; the transaction conflicts if the row exists.
  auto create(const std::string &Key, Milliseconds Timeout = Milliseconds(1000))
      -> void {
    Batching.transact({{{keyOf(Key), 0}}, {{keyOf(Key), "value"}}, {}}, Timeout,
                      [this, Key](const TransactionOutcome &Outcome) {
                        Outcomes[Key].push_back(Outcome);
                      });
  }

  template <typename Kind> auto isLast(const std::string &Key) -> bool {
    return !Outcomes[Key].empty() &&
           std::holds_alternative<Kind>(Outcomes[Key].back());
  }

  store::BatchingStore Batching{Store};
  std::map<std::string, std::vector<TransactionOutcome>> Outcomes;
};

// Replays submissions that arrive faster than a slow partition applies single
// transactions.
TEST_F(BatchingStoreTest, combinesTransactionsWhileOneIsInFlight) {
  Store.setTransactionDelay(Milliseconds(30));
  for (int Number = 0; Number < 30; ++Number)
    create(std::to_string(Number));
  ASSERT_TRUE(runUntil([&] { return Outcomes.size() == 30; }));
  EXPECT_EQ(Store.transactionCount(), 2U);
  for (const auto &[Key, Results] : Outcomes) {
    EXPECT_TRUE(isLast<TransactionCommitted>(Key)) << Key;
    EXPECT_NE(Store.row(keyOf(Key)), nullptr) << Key;
  }
}

// Guards against a submission that fails because another one in the same batch
// was stored before.
TEST_F(BatchingStoreTest, reportsAConflictOnlyToTheTransactionThatCausesIt) {
  Store.put(keyOf("old"), "stored");
  Store.setTransactionDelay(Milliseconds(20));
  create("first");
  create("new");
  create("old");
  create("newer");
  ASSERT_TRUE(runUntil([&] { return Outcomes.size() == 4; }));
  EXPECT_TRUE(isLast<TransactionConflict>("old"));
  EXPECT_TRUE(isLast<TransactionCommitted>("new"));
  EXPECT_TRUE(isLast<TransactionCommitted>("newer"));
  EXPECT_EQ(Store.row(keyOf("old"))->Value, "stored");
}

// Guards against combining two submissions of the same job, which would make
// both conflict with each other.
TEST_F(BatchingStoreTest, keepsTransactionsOnTheSameRowApart) {
  Store.setTransactionDelay(Milliseconds(20));
  create("first");
  create("twice");
  create("twice");
  ASSERT_TRUE(runUntil([&] { return Outcomes["twice"].size() == 2; }));
  EXPECT_TRUE(
      std::holds_alternative<TransactionCommitted>(Outcomes["twice"][0]));
  EXPECT_TRUE(
      std::holds_alternative<TransactionConflict>(Outcomes["twice"][1]));
}

// Guards against a false statement that nothing was done: only a transaction
// that was never sent may be reported as refused.
TEST_F(BatchingStoreTest, refusesATransactionThatWasNotSentInTime) {
  Store.setMode(FakeRowStore::Mode::LosingAnswers);
  create("sent", Milliseconds(60));
  create("waiting", Milliseconds(20));
  ASSERT_TRUE(runUntil([&] { return Outcomes.size() == 2; }));
  EXPECT_TRUE(isLast<store::StoreNoAnswer>("sent"));
  EXPECT_TRUE(isLast<store::StoreRefusal>("waiting"));
  EXPECT_EQ(Store.row(keyOf("waiting")), nullptr);
}

TEST_F(BatchingStoreTest, respectsTheLargestSizeOfATransaction) {
  Store.setTransactionDelay(Milliseconds(10));
  for (int Number = 0; Number < 151; ++Number)
    create(std::to_string(Number));
  ASSERT_TRUE(runUntil([&] { return Outcomes.size() == 151; }));
  EXPECT_EQ(Store.transactionCount(), 4U);
}

} // namespace
} // namespace jayramp::test
