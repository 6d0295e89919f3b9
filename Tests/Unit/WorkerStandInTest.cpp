#include "Base/Metrics.h"
#include "EndToEnd/StandIn.h"
#include "Platform/HttpWorkerClient.h"
#include "Platform/TaskCall.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace jayramp {
namespace {

class WorkerStandInTest : public testing::Test {
protected:
  /// Sends \p Verb for one task to worker 1 and returns the resulting state of
  /// the task.
  auto sendVerb(TaskVerb Verb, const std::string &Task, const std::string &Job,
                std::vector<std::uint32_t> Accelerators, int LeaseMs)
      -> std::string {
    TaskCall Call{
        Verb, 1, {{Task, Job, std::move(Accelerators), Milliseconds(LeaseMs)}}};
    return Client->control(Worker.address(1), Call, Milliseconds(1000))
        .value()[0]
        .State;
  }

  /// Returns the task \p Index from the record of worker 1.
  auto recordedTask(std::size_t Index) -> web::json::value {
    return Worker.record(1).at("tasks").at(Index);
  }

  Metrics Registry;
  StandIn Worker = StandIn::startWorkers({"--workers", "2"});
  std::unique_ptr<HttpWorkerClient> Client =
      HttpWorkerClient::create(Registry).value();
};

// Guards against a stand-in that keeps a task running after its lease has
// expired; tests would then not notice lost lease renewals.
TEST_F(WorkerStandInTest, stopsATaskWhoseLeaseExpires) {
  EXPECT_EQ(sendVerb(TaskVerb::Prepare, "t", "j", {0, 1}, 300), "prepared");
  EXPECT_EQ(sendVerb(TaskVerb::Prepare, "u", "j", {1}, 300), "failed");
  EXPECT_EQ(sendVerb(TaskVerb::Start, "t", "j", {0, 1}, 300), "running");
  std::this_thread::sleep_for(Milliseconds(200));
  EXPECT_EQ(sendVerb(TaskVerb::Renew, "t", "j", {0, 1}, 300), "running");
  std::this_thread::sleep_for(Milliseconds(200));
  EXPECT_EQ(recordedTask(0).at("end_ms").as_integer(), 0);
  std::this_thread::sleep_for(Milliseconds(200));
  EXPECT_EQ(recordedTask(0).at("end_reason").as_string(), "lease");
  EXPECT_EQ(sendVerb(TaskVerb::Renew, "t", "j", {0, 1}, 300), "stopped");
  EXPECT_EQ(sendVerb(TaskVerb::Prepare, "u", "j", {1}, 300), "prepared");
}

// Guards against task verbs that the stand-in accepts without changing the
// state of the task.
TEST_F(WorkerStandInTest, appliesEachTaskVerb) {
  EXPECT_EQ(sendVerb(TaskVerb::Prepare, "t", "j", {0}, 5000), "prepared");
  EXPECT_EQ(sendVerb(TaskVerb::Start, "t", "j", {0}, 5000), "running");
  Worker.control(R"({"ignore_checkpoint":true})", 1);
  EXPECT_EQ(sendVerb(TaskVerb::Checkpoint, "t", "j", {0}, 5000), "running");
  Worker.control(R"({"ignore_checkpoint":false})", 1);
  EXPECT_EQ(sendVerb(TaskVerb::Checkpoint, "t", "j", {0}, 5000),
            "checkpointed");
  EXPECT_EQ(sendVerb(TaskVerb::Throttle, "t", "j", {0}, 5000), "throttled");
  EXPECT_EQ(sendVerb(TaskVerb::Stop, "t", "j", {0}, 5000), "stopped");
  EXPECT_EQ(recordedTask(0).at("end_reason").as_string(), "stopped");
  EXPECT_EQ(Worker.record(0).at("tasks").size(), 0U);
}

// Guards against tasks that do not finish after the run time in their job id,
// and against tasks that run although failures are injected.
TEST_F(WorkerStandInTest, finishesATaskAfterItsRunTime) {
  sendVerb(TaskVerb::Prepare, "t", "j-run100", {0}, 5000);
  sendVerb(TaskVerb::Start, "t", "j-run100", {0}, 5000);
  std::this_thread::sleep_for(Milliseconds(200));
  EXPECT_EQ(recordedTask(0).at("end_reason").as_string(), "finished");
  Worker.control(R"({"fail_everything":true})", 1);
  sendVerb(TaskVerb::Prepare, "u", "j", {0}, 5000);
  EXPECT_EQ(sendVerb(TaskVerb::Start, "u", "j", {0}, 5000), "failed");
}

// Guards against a stand-in that responds while it is frozen, or does not
// respond after the freeze.
TEST_F(WorkerStandInTest, respondsOnlyAfterAFreezeEnds) {
  Worker.control(R"({"freeze":true})", 1);
  EXPECT_FALSE(
      Client->status(Worker.address(1), 1, Milliseconds(200)).has_value());
  Worker.control(R"({"freeze":false})", 1);
  EXPECT_TRUE(
      Client->status(Worker.address(1), 1, Milliseconds(1000)).has_value());
}

// Guards against a misspelt fault name that is ignored, so that a test runs
// without the fault that it meant to inject.
TEST_F(WorkerStandInTest, rejectsAnUnknownControlField) {
  EXPECT_THROW(Worker.control(R"({"silnt":true})"), std::runtime_error);
}

// Guards against stand-in processes that do not exit on SIGTERM and are left
// behind after a test.
TEST_F(WorkerStandInTest, exitsOnSigterm) {
  Worker.process().sendSignal(SIGTERM);
  EXPECT_EQ(Worker.process().waitForExit(Milliseconds(2000)), 0);
}

} // namespace
} // namespace jayramp
