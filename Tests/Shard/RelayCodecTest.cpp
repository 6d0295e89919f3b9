#include "Relay/RelayCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jayramp::relay {
namespace {

auto arbitraryKey() -> store::RowKey {
  return {*rc::gen::arbitrary<std::string>(),
          *rc::gen::arbitrary<std::string>(),
          *rc::gen::arbitrary<std::string>()};
}

auto arbitraryRow() -> store::Row {
  return {arbitraryKey(), *rc::gen::arbitrary<std::string>(),
          *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<bool>()};
}

// Keys and values of rows may contain any bytes, also bytes that are not UTF-8.
// Guards against an encoding that changes or rejects them.
RC_GTEST_PROP(RelayCodecTest, transactionIsUnchangedByRoundTrip, ()) {
  store::RowTransaction Change;
  for (int Count = *rc::gen::inRange(0, 4); Count > 0; --Count) {
    Change.Conditions.push_back(
        {arbitraryKey(), *rc::gen::arbitrary<std::uint64_t>()});
    Change.Writes.push_back(
        {arbitraryKey(), *rc::gen::arbitrary<std::string>()});
    Change.Removals.push_back(arbitraryKey());
  }
  const auto Decoded =
      decodeRelayCall(encodeRelayCall({Change, Milliseconds(70)}));
  RC_ASSERT(Decoded.has_value());
  RC_ASSERT(Decoded.value().Timeout == Milliseconds(70));
  const auto &Result =
      std::get<store::RowTransaction>(Decoded.value().Operation);
  RC_ASSERT(Result.Conditions.size() == Change.Conditions.size());
  for (std::size_t Index = 0; Index < Change.Conditions.size(); ++Index) {
    RC_ASSERT(Result.Conditions[Index].Key == Change.Conditions[Index].Key);
    RC_ASSERT(Result.Conditions[Index].Version ==
              Change.Conditions[Index].Version);
    RC_ASSERT(Result.Writes[Index].Key == Change.Writes[Index].Key);
    RC_ASSERT(Result.Writes[Index].Value == Change.Writes[Index].Value);
  }
  RC_ASSERT(Result.Removals == Change.Removals);
}

RC_GTEST_PROP(RelayCodecTest, rangeIsUnchangedByRoundTrip, ()) {
  const auto Key = arbitraryKey();
  const store::RangeQuery Query{Key.Table, Key.Partition, Key.Key,
                                *rc::gen::arbitrary<std::string>(),
                                *rc::gen::arbitrary<std::size_t>()};
  const auto Decoded =
      decodeRelayCall(encodeRelayCall({Query, Milliseconds(70)}));
  RC_ASSERT(Decoded.has_value());
  RC_ASSERT(std::get<store::RangeQuery>(Decoded.value().Operation) == Query);
}

RC_GTEST_PROP(RelayCodecTest, rowPageIsUnchangedByRoundTrip, ()) {
  store::RowPage Page;
  for (int Count = *rc::gen::inRange(0, 4); Count > 0; --Count)
    Page.Rows.push_back(arbitraryRow());
  Page.More = *rc::gen::arbitrary<bool>();
  Page.Version = *rc::gen::arbitrary<std::uint64_t>();
  const auto Decoded = decodeRelayReply(encodeRelayReply(Page));
  RC_ASSERT(Decoded.has_value());
  const auto &Result = std::get<store::RowPage>(Decoded.value());
  RC_ASSERT(Result.Rows == Page.Rows);
  RC_ASSERT(Result.More == Page.More);
  RC_ASSERT(Result.Version == Page.Version);
}

RC_GTEST_PROP(RelayCodecTest, rowNoticeIsUnchangedByRoundTrip, ()) {
  const RowNotice Notice{*rc::gen::arbitrary<std::string>(), arbitraryRow()};
  const auto Decoded = decodeRowNotice(encodeRowNotice(Notice));
  RC_ASSERT(Decoded.has_value());
  RC_ASSERT(Decoded.value() == Notice);
}

// Guards against decoding a refusal, after which nothing was done, as a missing
// answer, after which the call may have been carried out, or the reverse.
TEST(RelayCodecTest, replyKeepsItsOutcomeType) {
  const auto KeepsType = [](const RelayReply &Reply) {
    const auto Decoded = decodeRelayReply(encodeRelayReply(Reply));
    return Decoded && Decoded.value().index() == Reply.index();
  };
  EXPECT_TRUE(KeepsType(store::TransactionCommitted{7}));
  EXPECT_TRUE(KeepsType(store::TransactionConflict{}));
  EXPECT_TRUE(KeepsType(store::ChangeHistoryLost{}));
  EXPECT_TRUE(KeepsType(store::StoreRefusal{"503"}));
  EXPECT_TRUE(KeepsType(store::StoreNoAnswer{"timeout"}));
  EXPECT_TRUE(KeepsType(StoreUnavailable{}));
}

TEST(RelayCodecTest, rejectsMalformedMessages) {
  EXPECT_FALSE(decodeRelayCall("\xff\xff"));
  EXPECT_FALSE(decodeRelayReply(""));
  EXPECT_FALSE(decodeRowNotice(""));
}

} // namespace
} // namespace jayramp::relay
