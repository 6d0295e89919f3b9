#include "WireCodec.h"

#include "Base64.h"
#include "HostSettings.h"
#include "StoreCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jayramp::platform {
namespace {

using shard::OrderOutcome;

RC_GTEST_PROP(Base64Property, decodeIsInverseOfEncode,
              (const std::string &Bytes)) {
  RC_ASSERT(decodeBase64(encodeBase64(Bytes)) == Bytes);
}

// Guards against a crash of the daemon when another program has written a
// malformed row or response.
RC_GTEST_PROP(WireCodecProperty, decodersAcceptAnyTextWithoutCrash,
              (const std::string &Text)) {
  (void)decodeSubmission(Text);
  (void)decodeConfiguration(Text);
  (void)decodeWorker("w", Text);
  (void)decodeRenewReply(200, Text);
  (void)decodeOrderReply(409, Text);
  (void)decodeRows(Text);
  (void)decodeBase64(Text);
}

TEST(WireCodecTest, decodesSubmission) {
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

// Guards against jobs that are accepted although they are malformed or ask for
// unsupported features, and then never run as specified.
TEST(WireCodecTest, rejectsInvalidAndUnsupportedSubmissions) {
  for (const auto *Body :
       {"", "[]", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[{"count":-1}]})", R"({"steps":[{"after":[0]}]})",
        R"({"steps":[{"after":[1]},{}]})", R"({"steps":[{"cpu":"x"}]})",
        R"({"steps":[{"gpu":1e300}]})", R"({"steps":[{"long-running":true}]})",
        R"({"steps":[{"fills":true}]})", R"({"steps":[{}],"repeat-count":2})"})
    EXPECT_FALSE(decodeSubmission(Body).has_value()) << Body;
}

TEST(WireCodecTest, decodesRunsReportedByWorker) {
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
  EXPECT_EQ(Reply.Ended[0].Outcome, scheduling::RunOutcome::Succeeded);
}

TEST(WireCodecTest, mapsRefusalReasonsToOutcomes) {
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

// Guards against a shard that makes no progress: if the progress of a job does
// not fit into a row of the store, its owner can never write it.
TEST(WireCodecTest, rejectsJobsThatDoNotFitIntoOneRow) {
  EXPECT_TRUE(decodeSubmission(R"({"steps":[{"count":1000}]})").has_value());
  EXPECT_FALSE(decodeSubmission(R"({"steps":[{"count":1001}]})").has_value());
  EXPECT_FALSE(decodeSubmission(R"({"steps":[{"count":600},{"count":600}]})")
                   .has_value());
  const auto LongText = std::string(70000, 'x');
  EXPECT_FALSE(
      decodeSubmission(R"({"steps":[{"requirements":")" + LongText + "\"}]}")
          .has_value());
}

// Guards against a crash when a field of a worker's reply has the wrong type.
TEST(WireCodecTest, toleratesFieldsOfWrongType) {
  EXPECT_EQ(decodeOrderReply(409, R"({"clock-ms":"x","reason":7})").Outcome,
            OrderOutcome::Refused);
  EXPECT_EQ(decodeRenewReply(200, R"({"clock-ms":-1,"born":[],"running":7})")
                .WorkerClockMs,
            0);
}

// Guards against the loss of a whole page of rows because another program wrote
// a malformed value into one of them.
TEST(WireCodecTest, malformedValueDoesNotAffectOtherRowsOfPage) {
  const auto Page = decodeRows(
      R"({"rows":[{"table":"t","part":"","key":"a","value":"%%%","ver":1},)"
      R"({"table":"t","part":"","key":"b","value":"eA==","ver":2}],"ver":3})");
  ASSERT_TRUE(Page.has_value());
  ASSERT_EQ(Page.value().Rows.size(), 2U);
  EXPECT_EQ(Page.value().Rows[0].Value, "");
  EXPECT_EQ(Page.value().Rows[1].Value, "x");
}

// Guards against the use of rows in the worker table that do not describe a
// usable worker.
// Guards against pages that are not limited, so that a slow link never passes
// one.
TEST(WireCodecTest, limitsTheRowsOfAPage) {
  store::RangeQuery Query{"table", "part", "from", "to"};
  EXPECT_EQ(rangeTarget(Query),
            "/rows-get?table=table&part=part&from=from&to=to");
  Query.MaxRows = 8;
  EXPECT_EQ(rangeTarget(Query),
            "/rows-get?table=table&part=part&from=from&to=to&limit=8");
}

TEST(WireCodecTest, rejectsMalformedWorkerEntries) {
  for (const auto *Entry :
       {"", "[]", "{}", R"({"service":"s","address":"a","state":"odd"})",
        R"({"service":"s","address":"a","state":"ready"})",
        R"({"service":7,"address":"a","state":"ready","free-capacity":{}})"})
    EXPECT_FALSE(decodeWorker("w", Entry).has_value()) << Entry;
}

TEST(HostSettingsTest, errorNamesMissingSettingOrMalformedLine) {
  const auto Missing = HostSettings::parse("node-name=n\nzone=z\n", "file");
  ASSERT_FALSE(Missing.has_value());
  EXPECT_EQ(Missing.error().place(), "file ip");
  const auto Malformed = HostSettings::parse("a=b\nno equals sign\n", "file");
  ASSERT_FALSE(Malformed.has_value());
  EXPECT_EQ(Malformed.error().place(), "file:2");
}

TEST(HostSettingsTest, parsesSettingsFileOfPlatform) {
  const auto Settings = HostSettings::parse(
      "node-name=edge-1\nzone=z\nip=10.0.0.1\nunknown.field=x\n"
      "listen-addrs.frontend=10.0.0.1:1\nlisten-addrs.ready=10.0.0.1:2\n"
      "internal-ports=7000,7015\nplatform.address=10.0.0.2:3\n"
      "bounds.grace-s=6\nbounds.hold-max-ms=10000\n"
      "heartbeat-ms=900\nbounds.evacuate-ms=5000\n",
      "file");
  ASSERT_TRUE(Settings.has_value()) << Settings.error().message();
  EXPECT_EQ(Settings.value().FirstInternalPort, 7000);
  EXPECT_EQ(Settings.value().GracePeriodMs, 6000);
  EXPECT_EQ(Settings.value().WorkerHeartbeatMs, 900);
  EXPECT_EQ(Settings.value().ZoneClosureNoticeMs, 5000);
}

} // namespace
} // namespace jayramp::platform
