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
  auto step(TaskVerb Verb, const std::string &Task, const std::string &Job,
            std::vector<std::uint32_t> Accelerators, int Lease) -> std::string {
    TaskCall Call{
        Verb, 1, {{Task, Job, std::move(Accelerators), Milliseconds(Lease)}}};
    return Client->control(Worker.address(1), Call, Milliseconds(1000))
        .value()[0]
        .State;
  }

  auto task(std::size_t Index) -> web::json::value {
    return Worker.record(1).at("tasks").at(Index);
  }

  Metrics Registry;
  StandIn Worker = StandIn::startWorkers({"--workers", "2"});
  std::unique_ptr<HttpWorkerClient> Client =
      HttpWorkerClient::create(Registry).value();
};

// Guards against a stand-in that lets a task outlive its lease, which would
// hide lost renewals.
TEST_F(WorkerStandInTest, stopsATaskWhoseLeaseLapses) {
  EXPECT_EQ(step(TaskVerb::Prepare, "t", "j", {0, 1}, 300), "prepared");
  EXPECT_EQ(step(TaskVerb::Prepare, "u", "j", {1}, 300), "failed");
  EXPECT_EQ(step(TaskVerb::Start, "t", "j", {0, 1}, 300), "running");
  std::this_thread::sleep_for(Milliseconds(200));
  EXPECT_EQ(step(TaskVerb::Renew, "t", "j", {0, 1}, 300), "running");
  std::this_thread::sleep_for(Milliseconds(200));
  EXPECT_EQ(task(0).at("end_ms").as_integer(), 0);
  std::this_thread::sleep_for(Milliseconds(200));
  EXPECT_EQ(task(0).at("end_reason").as_string(), "lease");
  EXPECT_EQ(step(TaskVerb::Renew, "t", "j", {0, 1}, 300), "stopped");
  EXPECT_EQ(step(TaskVerb::Prepare, "u", "j", {1}, 300), "prepared");
}

// Guards against steps that the stand-in does not carry out.
TEST_F(WorkerStandInTest, carriesOutTheStepsOfATask) {
  EXPECT_EQ(step(TaskVerb::Prepare, "t", "j", {0}, 5000), "prepared");
  EXPECT_EQ(step(TaskVerb::Start, "t", "j", {0}, 5000), "running");
  Worker.control(R"({"ignore_checkpoint":true})", 1);
  EXPECT_EQ(step(TaskVerb::Checkpoint, "t", "j", {0}, 5000), "running");
  Worker.control(R"({"ignore_checkpoint":false})", 1);
  EXPECT_EQ(step(TaskVerb::Checkpoint, "t", "j", {0}, 5000), "checkpointed");
  EXPECT_EQ(step(TaskVerb::Throttle, "t", "j", {0}, 5000), "throttled");
  EXPECT_EQ(step(TaskVerb::Stop, "t", "j", {0}, 5000), "stopped");
  EXPECT_EQ(task(0).at("end_reason").as_string(), "stopped");
  EXPECT_EQ(Worker.record(0).at("tasks").size(), 0U);
}

// Guards against tasks that never end by themselves.
TEST_F(WorkerStandInTest, finishesATaskAfterItsRunTime) {
  step(TaskVerb::Prepare, "t", "j-run100", {0}, 5000);
  step(TaskVerb::Start, "t", "j-run100", {0}, 5000);
  std::this_thread::sleep_for(Milliseconds(200));
  EXPECT_EQ(task(0).at("end_reason").as_string(), "finished");
  Worker.control(R"({"fail_everything":true})", 1);
  step(TaskVerb::Prepare, "u", "j", {0}, 5000);
  EXPECT_EQ(step(TaskVerb::Start, "u", "j", {0}, 5000), "failed");
}

// Guards against a frozen stand-in that still answers, or loses calls.
TEST_F(WorkerStandInTest, answersAfterAFreeze) {
  Worker.control(R"({"freeze":true})", 1);
  EXPECT_FALSE(
      Client->status(Worker.address(1), 1, Milliseconds(200)).has_value());
  Worker.control(R"({"freeze":false})", 1);
  EXPECT_TRUE(
      Client->status(Worker.address(1), 1, Milliseconds(1000)).has_value());
}

// Guards against a misspelt fault that a test believes to be set.
TEST_F(WorkerStandInTest, refusesAnUnknownField) {
  EXPECT_THROW(Worker.control(R"({"silnt":true})"), std::runtime_error);
}

// Guards against stand-ins that outlive a planned stop.
TEST_F(WorkerStandInTest, endsOnSigterm) {
  Worker.process().sendSignal(SIGTERM);
  EXPECT_EQ(Worker.process().waitForExit(Milliseconds(2000)), 0);
}

} // namespace
} // namespace jayramp
