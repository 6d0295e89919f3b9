// Feeds randomly damaged messages to every decoder. Set JAYRAMP_FUZZ_SECONDS
// for a longer run and JAYRAMP_SEED to repeat one.

#include "HostSettings.h"
#include "MessageMutator.h"
#include "Net/EventLoop.h"
#include "Relay/RelayCodec.h"
#include "Scheduling/ShardScheduler.h"
#include "Shard/ShardRows.h"
#include "StoreCodec.h"
#include "WireCodec.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <stdexcept>

namespace jayramp {
namespace {

using Decoder = std::function<void(const std::string &)>;

/// Valid messages of one kind and what handles them.
struct MessageKind {
  const char *Name;
  std::vector<std::string> Corpus;
  Decoder Decode;
};

auto sampleJob() -> scheduling::JobSpec {
  scheduling::JobSpec Job;
  Job.Id = "0123456789abcdef";
  Job.Queue = "queue";
  Job.Service = "pool";
  Job.Payload = "payload";
  Job.Steps.resize(2);
  Job.Steps[0].Count = 3;
  Job.Steps[0].Need = {1000, 2000, 1};
  Job.Steps[1].Gang = true;
  Job.Steps[1].Count = 2;
  Job.Steps[1].After = {0};
  return Job;
}

auto sampleProgress() -> scheduling::JobProgress {
  scheduling::JobProgress Progress;
  Progress.Steps = {{{1, true, 0, 0, "", "", 0},
                     {2, false, 1, 1, "checkpoint", "worker", 5},
                     {}},
                    {{}, {}}};
  return Progress;
}

/// Lets a scheduler take over a job, as the owner of a shard does with rows.
auto schedule(scheduling::JobSpec Job, scheduling::JobProgress Progress)
    -> void {
  scheduling::ShardScheduler Scheduler;
  const auto Now = TimePoint(std::chrono::hours(1));
  scheduling::WorkerReport Worker;
  Worker.Id = "worker";
  Worker.Service = "pool";
  Worker.Capacity = {64000, 128000, 8};
  Scheduler.updateWorker(Worker, Now);
  Scheduler.addJob(std::move(Job), std::move(Progress), Now);
  Scheduler.schedule(Now);
}

auto messageKinds() -> std::vector<MessageKind> {
  const store::Row Row{{"table", "partition", "key"}, "value", 7, false};
  const store::RowTransaction Change{
      {{Row.Key, 3}}, {{Row.Key, "value"}}, {Row.Key}};
  return {
      {"submission",
       {R"({"spec":"text","steps":[{"count":4,"cpu":500,"gpu":2,"gang":true},)"
        R"({"count":1,"after":[0],"anti-affinity":1}]})"},
       [](const auto &Text) {
         if (auto Job = platform::decodeSubmission(Text)) {
           Job.value().Service = "pool";
           schedule(Job.value(), {});
         }
       }},
      {"configuration",
       {R"({"version":3,"routes":[{"name":"a","hostname":"h",)"
        R"("path-prefix":"/p/","service":"s","priority":1,"stretch":1.5}],)"
        R"("services":[{"name":"s"}],"tenants":[{"name":"t",)"
        R"("api-keys":["k"],"guaranteed":{"gpu":4}}],)"
        R"("limits":{"max-body-bytes":1000}})"},
       [](const auto &Text) { (void)platform::decodeConfiguration(Text); }},
      {"worker entry",
       {R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
        R"("free-capacity":{"cpu":64000,"mem-mb":128000,"gpu":8},)"
        R"("labels":["kind","rack"],"born":1700000000000,"clock-ms":500})"},
       [](const auto &Text) { (void)platform::decodeWorker("w", Text); }},
      {"worker reply",
       {R"({"clock-ms":5,"born":9,"running":[["a.0.0.1",2,"c",41]],)"
        R"("ended":[[58,"a.0.1.9",1,"done",""]]})",
        R"({"clock-ms":482113,"reason":"fence"})"},
       [](const auto &Text) {
         (void)platform::decodeRenewReply(200, Text);
         (void)platform::decodeOrderReply(409, Text);
       }},
      {"store reply",
       {R"({"rows":[{"table":"t","part":"p","key":"k","value":"dmFsdWU=",)"
        R"("ver":7}],"ver":9,"has-more":true})"},
       [](const auto &Text) {
         (void)platform::decodeRows(Text);
         (void)platform::decodeCommitVersion(Text);
       }},
      {"settings",
       {"node-name=n\nzone=z\nip=10.0.0.1\nlisten-addrs.frontend=a:1\n"
        "listen-addrs.ready=a:2\nplatform.address=a:3\n"
        "internal-ports=7000,7015\nbounds.revoke-ms=5000\n"},
       [](const auto &Text) {
         (void)platform::HostSettings::parse(Text, "file");
       }},
      {"job row",
       {shard::encodeJob(sampleJob())},
       [](const auto &Bytes) {
         if (auto Job = shard::decodeJob(Bytes))
           schedule(Job.value(), sampleProgress());
       }},
      {"progress row",
       {shard::encodeProgress(sampleProgress())},
       [](const auto &Bytes) {
         if (auto Progress = shard::decodeProgress(Bytes))
           schedule(sampleJob(), Progress.value());
       }},
      {"ownership rows",
       {shard::encodeOwner({"host", "incarnation", 4, false}),
        shard::encodeHeartbeat({4, 9, {{{"queue", 3}}}})},
       [](const auto &Bytes) {
         (void)shard::decodeOwner(Bytes);
         (void)shard::decodeHeartbeat(Bytes);
       }},
      {"speed row",
       {shard::encodeSpeeds({{{scheduling::SpeedLevel::Zone, "a", 87},
                              {scheduling::SpeedLevel::Rack, "a/r", -30}},
                             {{7, 90}, {8, 60}}})},
       [](const auto &Bytes) {
         if (const auto Speeds = shard::decodeSpeeds(Bytes)) {
           scheduling::ShardScheduler Scheduler;
           Scheduler.restoreSpeeds(Speeds.value(), Clock::now());
         }
       }},
      {"peer messages",
       {relay::encodeRelayCall({Change, Milliseconds(100)}),
        relay::encodeRelayReply(store::RowPage{{Row}, false, 8}),
        relay::encodeRowNotice({"pool", Row})},
       [](const auto &Bytes) {
         (void)relay::decodeRelayCall(Bytes);
         (void)relay::decodeRelayReply(Bytes);
         (void)relay::decodeRowNotice(Bytes);
       }},
  };
}

// Guards against one malformed message that takes a whole process down.
TEST(MalformedInputTest, damagedMessagesAreRejectedWithoutACrash) {
  const auto Seed = environmentNumber("JAYRAMP_SEED", std::random_device{}());
  const auto Duration =
      std::chrono::seconds(environmentNumber("JAYRAMP_FUZZ_SECONDS", 3));
  const auto Kinds = messageKinds();
  MessageMutator Mutations(Seed);
  std::size_t Messages = 0;
  for (const auto End = Clock::now() + Duration; Clock::now() < End;
       ++Messages) {
    const auto &Kind = Kinds[Mutations.below(Kinds.size())];
    const auto Text =
        Mutations.mutate(Kind.Corpus[Mutations.below(Kind.Corpus.size())]);
    ASSERT_NO_THROW(Kind.Decode(Text))
        << Kind.Name << " seed " << Seed << ": " << Text;
  }
  std::printf("seed=%u messages=%zu\n", Seed, Messages);
}

TEST(MalformedInputTest, rejectsJobRowsThatNoReleaseWrites) {
  auto Job = sampleJob();
  Job.Steps[0].Count = 4000000000;
  EXPECT_FALSE(shard::decodeJob(shard::encodeJob(Job)));
  Job = sampleJob();
  Job.Steps[0].After = {1};
  EXPECT_FALSE(shard::decodeJob(shard::encodeJob(Job)));
}

TEST(MalformedInputTest, rejectsSpeedRowsThatNoReleaseWrites) {
  using scheduling::SpeedLevel;
  const auto IsAccepted = [](const scheduling::SpeedSummary &Speeds) {
    return shard::decodeSpeeds(shard::encodeSpeeds(Speeds)).has_value();
  };
  EXPECT_FALSE(shard::decodeSpeeds("no message"));
  EXPECT_TRUE(IsAccepted({{{SpeedLevel::Zone, "a", 10}}, {{7, 10}}}));
  EXPECT_FALSE(IsAccepted({{{SpeedLevel::Zone, "a", 100000}}, {}}));
  EXPECT_FALSE(IsAccepted({{{SpeedLevel::Worker, "a", 10}}, {}}));
  EXPECT_FALSE(IsAccepted({{}, {{7, -100000}}}));
  EXPECT_FALSE(
      IsAccepted({std::vector<scheduling::SpeedSummary::Group>(5000), {}}));
}

// Guards against an unexpected error in one handler that ends the process.
TEST(MalformedInputTest, exceptionInAHandlerDoesNotStopTheEventLoop) {
  net::EventLoop Loop;
  bool Continued = false;
  Loop.post([] { throw std::runtime_error("unexpected"); });
  Loop.post([&] {
    Continued = true;
    Loop.stop();
  });
  Loop.run();
  EXPECT_TRUE(Continued);
}

} // namespace
} // namespace jayramp
