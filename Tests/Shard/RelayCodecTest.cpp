#include "Relay/RelayCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jayramp::relay {
namespace {

auto key() -> store::RowKey {
  return {*rc::gen::arbitrary<std::string>(),
          *rc::gen::arbitrary<std::string>(),
          *rc::gen::arbitrary<std::string>()};
}

auto row() -> store::Row {
  return {key(), *rc::gen::arbitrary<std::string>(),
          *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<bool>()};
}

// Keys and values of rows are any bytes; the names of the platform are texts.
RC_GTEST_PROP(RelayCodecTest, transactionsSurvive, ()) {
  store::RowTransaction Change;
  for (int Count = *rc::gen::inRange(0, 4); Count > 0; --Count) {
    Change.Conditions.push_back({key(), *rc::gen::arbitrary<std::uint64_t>()});
    Change.Writes.push_back({key(), *rc::gen::arbitrary<std::string>()});
    Change.Removals.push_back(key());
  }
  const auto Decoded =
      decodeRelayCall(encodeRelayCall({Change, Milliseconds(70)}));
  RC_ASSERT(Decoded.has_value());
  RC_ASSERT(Decoded.value().Timeout == Milliseconds(70));
  const auto &Same = std::get<store::RowTransaction>(Decoded.value().Operation);
  RC_ASSERT(Same.Conditions.size() == Change.Conditions.size());
  for (std::size_t Index = 0; Index < Change.Conditions.size(); ++Index) {
    RC_ASSERT(Same.Conditions[Index].Key == Change.Conditions[Index].Key);
    RC_ASSERT(Same.Conditions[Index].Version ==
              Change.Conditions[Index].Version);
    RC_ASSERT(Same.Writes[Index].Key == Change.Writes[Index].Key);
    RC_ASSERT(Same.Writes[Index].Value == Change.Writes[Index].Value);
  }
  RC_ASSERT(Same.Removals == Change.Removals);
}

RC_GTEST_PROP(RelayCodecTest, pagesSurvive, ()) {
  store::RowPage Page;
  for (int Count = *rc::gen::inRange(0, 4); Count > 0; --Count)
    Page.Rows.push_back(row());
  Page.More = *rc::gen::arbitrary<bool>();
  Page.Version = *rc::gen::arbitrary<std::uint64_t>();
  const auto Decoded = decodeRelayReply(encodeRelayReply(Page));
  RC_ASSERT(Decoded.has_value());
  const auto &Same = std::get<store::RowPage>(Decoded.value());
  RC_ASSERT(Same.Rows == Page.Rows);
  RC_ASSERT(Same.More == Page.More);
  RC_ASSERT(Same.Version == Page.Version);
}

RC_GTEST_PROP(RelayCodecTest, noticesSurvive, ()) {
  const RowNotice Notice{*rc::gen::arbitrary<std::string>(), row()};
  const auto Decoded = decodeRowNotice(encodeRowNotice(Notice));
  RC_ASSERT(Decoded.has_value());
  RC_ASSERT(Decoded.value() == Notice);
}

// Guards against a refusal that is taken for an answer that may be lost, or the
// other way round.
TEST(RelayCodecTest, keepsOutcomesApart) {
  const auto Same = [](const RelayReply &Reply) {
    const auto Decoded = decodeRelayReply(encodeRelayReply(Reply));
    return Decoded && Decoded.value().index() == Reply.index();
  };
  EXPECT_TRUE(Same(store::TransactionCommitted{7}));
  EXPECT_TRUE(Same(store::TransactionConflict{}));
  EXPECT_TRUE(Same(store::ChangeHistoryLost{}));
  EXPECT_TRUE(Same(store::StoreRefusal{"503"}));
  EXPECT_TRUE(Same(store::StoreNoAnswer{"timeout"}));
  EXPECT_TRUE(Same(StoreUnavailable{}));
}

TEST(RelayCodecTest, refusesWhatItCannotRead) {
  EXPECT_FALSE(decodeRelayCall("\xff\xff"));
  EXPECT_FALSE(decodeRelayReply(""));
  EXPECT_FALSE(decodeRowNotice(""));
}

} // namespace
} // namespace jayramp::relay
