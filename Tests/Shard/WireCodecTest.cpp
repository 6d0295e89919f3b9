#include "WireCodec.h"

#include "Base64.h"
#include "HostSettings.h"
#include "StoreCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jayramp::platform {
namespace {

using shard::OrderOutcome;

RC_GTEST_PROP(Base64Property, decodesWhatItEncodes,
              (const std::string &Bytes)) {
  RC_ASSERT(decodeBase64(encodeBase64(Bytes)) == Bytes);
}

// Guards against a crash of the daemon by an entry of another writer.
RC_GTEST_PROP(WireCodecProperty, survivesAnyText, (const std::string &Text)) {
  (void)decodeSubmission(Text);
  (void)decodeConfiguration(Text);
  (void)decodeWorker("w", Text);
  (void)decodeRenewReply(200, Text);
  (void)decodeOrderReply(409, Text);
  (void)decodeRows(Text);
  (void)decodeBase64(Text);
}

TEST(WireCodecTest, readsASubmission) {
  const auto Job = decodeSubmission(
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"gpu":2,)"
      R"("estimated-ms":900,"gang":true,"same-rack":true},)"
      R"({"count":1,"after":[0],"checkpointing":true,"anti-affinity":1}]})");
  ASSERT_TRUE(Job.has_value());
  ASSERT_EQ(Job.value().Steps.size(), 2U);
  EXPECT_EQ(Job.value().Payload, "text");
  EXPECT_EQ(Job.value().Steps[0].Need, (scheduling::Resources{500, 256, 2}));
  EXPECT_TRUE(Job.value().Steps[0].Gang);
  EXPECT_TRUE(Job.value().Steps[0].SameRack);
  EXPECT_EQ(Job.value().Steps[1].After, std::vector<std::uint32_t>{0});
  EXPECT_EQ(Job.value().Steps[1].MaxPerWorker, 1U);
}

// Guards against jobs that are accepted and never run as asked.
TEST(WireCodecTest, refusesWhatItCannotCarryOut) {
  for (const auto *Body :
       {"", "[]", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[{"count":-1}]})", R"({"steps":[{"after":[0]}]})",
        R"({"steps":[{"after":[1]},{}]})", R"({"steps":[{"cpu":"x"}]})",
        R"({"steps":[{"gpu":1e300}]})", R"({"steps":[{"long-running":true}]})",
        R"({"steps":[{"fills":true}]})", R"({"steps":[{}],"repeat-count":2})"})
    EXPECT_FALSE(decodeSubmission(Body).has_value()) << Body;
}

TEST(WireCodecTest, readsWhatAWorkerLists) {
  const auto Reply = decodeRenewReply(
      200, R"({"clock-ms":482113,"born":17,)"
           R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41]],)"
           R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],["bad"]]})");
  EXPECT_EQ(Reply.Outcome, OrderOutcome::Accepted);
  EXPECT_EQ(Reply.Incarnation, 17);
  ASSERT_EQ(Reply.Running.size(), 1U);
  EXPECT_EQ(Reply.Running[0].Run,
            (scheduling::RunId{"5c0e7a21d94b36f8", 1, 17, 2}));
  EXPECT_EQ(Reply.Running[0].Percent, 41U);
  ASSERT_EQ(Reply.Ended.size(), 1U);
  EXPECT_EQ(Reply.Ended[0].How, scheduling::RunOutcome::Succeeded);
}

TEST(WireCodecTest, tellsReasonsOfAWorkerApart) {
  const auto Outcome = [](const char *Reason) {
    return decodeOrderReply(409, std::string(R"({"clock-ms":1,"reason":")") +
                                     Reason + "\"}")
        .Outcome;
  };
  EXPECT_EQ(Outcome("fence"), OrderOutcome::Fenced);
  EXPECT_EQ(Outcome("old"), OrderOutcome::RunAlreadyEnded);
  EXPECT_EQ(Outcome("late"), OrderOutcome::LeaseExpired);
  EXPECT_EQ(Outcome("room"), OrderOutcome::NoCapacity);
  EXPECT_EQ(Outcome("ticket"), OrderOutcome::Refused);
  EXPECT_EQ(decodeOrderReply(421, "").Outcome, OrderOutcome::WrongIncarnation);
}

// Guards against a shard that stands still: a job whose progress does not fit
// into a row could never be written.
TEST(WireCodecTest, refusesJobsThatDoNotFitIntoARow) {
  EXPECT_TRUE(decodeSubmission(R"({"steps":[{"count":1000}]})").has_value());
  EXPECT_FALSE(decodeSubmission(R"({"steps":[{"count":1001}]})").has_value());
  EXPECT_FALSE(decodeSubmission(R"({"steps":[{"count":600},{"count":600}]})")
                   .has_value());
  const auto Long = std::string(70000, 'x');
  EXPECT_FALSE(
      decodeSubmission(R"({"steps":[{"requirements":")" + Long + "\"}]}")
          .has_value());
}

// Guards against a crash by an answer with a field of another type.
TEST(WireCodecTest, survivesFieldsOfOtherTypes) {
  EXPECT_EQ(decodeOrderReply(409, R"({"clock-ms":"x","reason":7})").Outcome,
            OrderOutcome::Refused);
  EXPECT_EQ(decodeRenewReply(200, R"({"clock-ms":-1,"born":[],"running":7})")
                .WorkerClockMs,
            0);
}

// Guards against a page of rows that is lost by one row of another writer.
TEST(WireCodecTest, readsOtherRowsBesideOneThatCannotBeRead) {
  const auto Page = decodeRows(
      R"({"rows":[{"table":"t","part":"","key":"a","value":"%%%","ver":1},)"
      R"({"table":"t","part":"","key":"b","value":"eA==","ver":2}],"ver":3})");
  ASSERT_TRUE(Page.has_value());
  ASSERT_EQ(Page.value().Rows.size(), 2U);
  EXPECT_EQ(Page.value().Rows[0].Value, "");
  EXPECT_EQ(Page.value().Rows[1].Value, "x");
}

// Guards against a worker entry of another writer that is used.
TEST(WireCodecTest, ignoresEntriesThatNameNoWorker) {
  for (const auto *Entry :
       {"", "[]", "{}", R"({"service":"s","address":"a","state":"odd"})",
        R"({"service":"s","address":"a","state":"ready"})",
        R"({"service":7,"address":"a","state":"ready","free-capacity":{}})"})
    EXPECT_FALSE(decodeWorker("w", Entry).has_value()) << Entry;
}

TEST(HostSettingsTest, namesTheSettingThatIsMissing) {
  const auto Missing = HostSettings::parse("node-name=n\nzone=z\n", "file");
  ASSERT_FALSE(Missing.has_value());
  EXPECT_EQ(Missing.error().place(), "file ip");
  const auto Malformed = HostSettings::parse("a=b\nno equals sign\n", "file");
  ASSERT_FALSE(Malformed.has_value());
  EXPECT_EQ(Malformed.error().place(), "file:2");
}

TEST(HostSettingsTest, readsWhatThePlatformWrites) {
  const auto Settings = HostSettings::parse(
      "node-name=edge-1\nzone=z\nip=10.0.0.1\nunknown.field=x\n"
      "listen-addrs.frontend=10.0.0.1:1\nlisten-addrs.ready=10.0.0.1:2\n"
      "internal-ports=7000,7015\nplatform.address=10.0.0.2:3\n"
      "bounds.grace-s=6\nbounds.hold-max-ms=10000\n",
      "file");
  ASSERT_TRUE(Settings.has_value()) << Settings.error().message();
  EXPECT_EQ(Settings.value().FirstInternalPort, 7000);
  EXPECT_EQ(Settings.value().GracePeriodMs, 6000);
}

} // namespace
} // namespace jayramp::platform
