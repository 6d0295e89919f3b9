#include "Jobs/GangRunner.h"

#include "Base/Metrics.h"
#include "FakeObjectStore.h"
#include "FakeTableService.h"
#include "FakeWorkerClient.h"
#include "Jobs/GangRunnerInputs.h"
#include "Jobs/JobStore.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace jayramp {
namespace {

using LostMessage = test::FakeWorkerClient::LostMessage;

constexpr Milliseconds DefaultTimeout{6000};

/// Waits until \p Condition is true; returns false after \p Timeout.
auto eventually(const std::function<bool()> &Condition,
                Milliseconds Timeout = DefaultTimeout) -> bool {
  const auto End = Clock::now() + Timeout;
  while (Clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return false;
}

/// Four workers with two accelerators each, in one rack. The account "alpha"
/// has a guarantee of all eight accelerators. Leases and timeouts are a tenth
/// of the defaults.
struct GangRunnerTest : ::testing::Test {
  /// An entry host with a gang runner.
  struct Host {
    std::mutex Mutex;
    SchedulerRole Role;
    std::unique_ptr<JobStore> Store;
    std::unique_ptr<GangRunner> Runner;

    auto setRole(SchedulerRole NewRole) -> void {
      std::lock_guard Lock(Mutex);
      Role = NewRole;
    }
  };

  GangRunnerTest() { writeNextView(); }

  auto writeNextView() -> void {
    ++View;
    ASSERT_TRUE(Tables.commit({"view-" + std::to_string(View),
                               {},
                               {{"membership", "view", View - 1, "{}"}}}));
  }

  auto startHost(const std::string &Name) -> std::unique_ptr<Host> {
    auto NewHost = std::make_unique<Host>();
    NewHost->Role = {View, true, true};
    NewHost->Store = std::make_unique<JobStore>(Tables, Objects);
    GangRunner::Options Options{.HostName = Name,
                                .SurplusLeaseDuration = Milliseconds(400),
                                .GuaranteedLeaseDuration = Milliseconds(1000),
                                .CheckpointTimeout = Milliseconds(100),
                                .ThrottleTimeout = Milliseconds(50),
                                .StopTimeout = Milliseconds(100),
                                .RenewInterval = Milliseconds(100),
                                .PollInterval = Milliseconds(50),
                                .CallTimeout = Milliseconds(50),
                                .WorkerCallThreads = 4};
    GangRunnerInputs Inputs{
        .ReadRole =
            [Host = NewHost.get()] {
              std::lock_guard Lock(Host->Mutex);
              return Host->Role;
            },
        .ReadWorkers =
            [] {
              std::vector<ListedWorker> Listed;
              for (const char *Worker : {"w0", "w1", "w2", "w3"})
                Listed.push_back({Worker, Worker, "zone", "rack", false});
              return Listed;
            },
        .ReadAccounts =
            [] {
              return std::vector<AccountPolicy>{{"alpha", {{8, 1}}, 0},
                                                {"beta", {}, 0}};
            }};
    NewHost->Runner = std::make_unique<GangRunner>(
        Options, Inputs, *NewHost->Store, Workers, Counters);
    NewHost->Runner->start();
    return NewHost;
  }

  auto submitJob(const std::string &Id, std::uint32_t Size,
                 JobPriority Priority = JobPriority::Surplus) -> void {
    JobRow Row;
    Row.Specification = {
        Id,    Priority == JobPriority::Surplus ? "beta" : "alpha",
        Size,  Priority,
        false, Milliseconds(0)};
    Row.SubmittedMs = ++LastSubmittedMs;
    ASSERT_TRUE(Reader.write("submit-" + Id, {Row}, 0));
  }

  /// Returns the stored row, or an empty one if it cannot be read.
  auto readRow(const std::string &Id) -> JobRow {
    auto Read = Reader.read(Id);
    return Read && Read.value() ? *Read.value() : JobRow();
  }
  /// Waits until the stored row has the state, and the attempt unless it is 0.
  auto jobReaches(const std::string &Id, JobRowState State,
                  std::uint32_t Attempt = 0) -> bool {
    return eventually([&] {
      auto Row = readRow(Id);
      return Row.State == State && (Attempt == 0 || Row.Attempt == Attempt);
    });
  }

  test::FakeTableService Tables;
  test::FakeObjectStore Objects;
  test::FakeWorkerClient Workers;
  Metrics Counters;
  JobStore Reader{Tables, Objects};
  std::uint64_t View = 0; ///< Version of the view.
  std::int64_t LastSubmittedMs = 1'700'000'000'000;
};

// Guards against a gang that starts in part, is stopped when its first lease
// expires, or is started again.
TEST_F(GangRunnerTest, gangStartsOnAllWorkersAndOutlivesItsFirstLease) {
  auto Host = startHost("a");
  submitJob("job", 7);
  ASSERT_TRUE(jobReaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 4; }));
  std::this_thread::sleep_for(Milliseconds(900));
  EXPECT_EQ(Workers.runningTaskCount("job"), 4U);
  Workers.finishAllTasks();
  EXPECT_TRUE(jobReaches("job", JobRowState::Succeeded));
  EXPECT_EQ(readRow("job").Attempt, 1U);
}

/// A fault of one worker during the start of a gang.
struct InjectedFault {
  const char *Name;
  std::function<void(GangRunnerTest &)> Inject;
};

struct GangStartStepTest : GangRunnerTest,
                           ::testing::WithParamInterface<InjectedFault> {};

// Guards against tasks that keep running, or a job that stays reserved, after a
// prepare or start call to one worker has failed.
TEST_P(GangStartStepTest, failedStepReleasesTheGangAndStartsANewAttempt) {
  GetParam().Inject(*this);
  auto Host = startHost("a");
  submitJob("job", 8);
  ASSERT_TRUE(jobReaches("job", JobRowState::Started, 2));
  ASSERT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 4; }));
  for (const auto &Task : Workers.tasks()) {
    const bool FirstAttempt = Task.Order.Task.find(".1.") != std::string::npos;
    EXPECT_EQ(Task.isLive(), !FirstAttempt) << Task.Order.Task;
  }
  Workers.finishAllTasks();
  EXPECT_TRUE(jobReaches("job", JobRowState::Succeeded));
}

INSTANTIATE_TEST_SUITE_P(
    Steps, GangStartStepTest,
    ::testing::Values(
        InjectedFault{"prepareRefused",
                      [](GangRunnerTest &Test) {
                        Test.Workers.forceNextState("w2", TaskVerb::Prepare,
                                                    "failed");
                      }},
        InjectedFault{"prepareNotReceived",
                      [](GangRunnerTest &Test) {
                        Test.Workers.loseNextCall("w2", TaskVerb::Prepare,
                                                  LostMessage::Request);
                      }},
        InjectedFault{"prepareAnswerLost",
                      [](GangRunnerTest &Test) {
                        Test.Workers.loseNextCall("w2", TaskVerb::Prepare,
                                                  LostMessage::Reply);
                      }},
        InjectedFault{"startFailed",
                      [](GangRunnerTest &Test) {
                        Test.Workers.forceNextState("w2", TaskVerb::Start,
                                                    "failed");
                      }},
        InjectedFault{"startNotReceived",
                      [](GangRunnerTest &Test) {
                        Test.Workers.loseNextCall("w2", TaskVerb::Start,
                                                  LostMessage::Request);
                      }},
        InjectedFault{"startAnswerLost",
                      [](GangRunnerTest &Test) {
                        Test.Workers.loseNextCall("w2", TaskVerb::Start,
                                                  LostMessage::Reply);
                      }}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against a lost reply of the store that is treated as a conflict.
TEST_F(GangRunnerTest, lostStoreReplyDoesNotFailAStart) {
  auto Host = startHost("a");
  submitJob("job", 8);
  Tables.loseNextAnswer("jobs");
  ASSERT_TRUE(jobReaches("job", JobRowState::Started, 1));
  EXPECT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 4; }));
}

// Guards against tasks that run for more than one lease after another task of
// the gang was lost, if the scheduler fails as well. This happens if their
// leases are still renewed after the loss.
TEST_F(GangRunnerTest, leasesAreNotRenewedAfterTheLossOfATask) {
  auto Host = startHost("a");
  submitJob("job", 8, JobPriority::Surplus);
  ASSERT_TRUE(jobReaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 4; }));
  std::this_thread::sleep_for(Milliseconds(200));
  const auto LostAt = Clock::now();
  Workers.setReachable("w1", false);
  Workers.endTasks("w1", "stopped");
  std::this_thread::sleep_for(Milliseconds(350));
  Host->setRole({View, false, false});
  std::this_thread::sleep_for(Milliseconds(700));
  for (const auto &Task : Workers.tasks()) {
    ASSERT_FALSE(Task.isLive()) << Task.Worker;
    // The lease, plus the time within which a worker must report: the renewal
    // interval, the call timeout and 10 ms.
    EXPECT_LE(Task.EndedAt - LostAt, Milliseconds(400 + 100 + 60))
        << Task.Worker;
  }
}

// Guards against tasks that keep running, and a job that is not restarted,
// after another worker of its gang was lost.
TEST_F(GangRunnerTest, lossOfAWorkerStopsTheOtherTasksAndRestartsTheJob) {
  auto Host = startHost("a");
  submitJob("job", 6);
  ASSERT_TRUE(jobReaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 3; }));
  const auto LostWorker = readRow("job").Placement.front().Worker;
  Workers.setReachable(LostWorker, false);
  ASSERT_TRUE(jobReaches("job", JobRowState::Started, 2));
  for (const auto &Place : readRow("job").Placement)
    EXPECT_NE(Place.Worker, LostWorker);
  EXPECT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 3; }));
}

// Guards against a gang that is stopped after a single lost renewal.
TEST_F(GangRunnerTest, oneMissedRenewalDoesNotStopTheGang) {
  auto Host = startHost("a");
  submitJob("job", 8);
  ASSERT_TRUE(jobReaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 4; }));
  Workers.loseNextCall("w3", TaskVerb::Renew, LostMessage::Request);
  std::this_thread::sleep_for(Milliseconds(1000));
  EXPECT_EQ(Workers.runningTaskCount("job"), 4U);
  EXPECT_EQ(readRow("job").Attempt, 1U);
}

// Guards against a former scheduler that still reserves accelerators or
// prepares tasks after another host has changed the view.
TEST_F(GangRunnerTest, schedulerOfAnOldViewStartsNoGang) {
  auto Host = startHost("a");
  submitJob("first", 2);
  ASSERT_TRUE(jobReaches("first", JobRowState::Started));
  writeNextView(); // The host does not adopt it yet.
  submitJob("second", 2);
  std::this_thread::sleep_for(Milliseconds(600));
  EXPECT_EQ(readRow("second").State, JobRowState::Pending);
  EXPECT_EQ(Workers.runningTaskCount("second"), 0U);
  EXPECT_EQ(Counters.counter("jayramp_scheduler_fenced_total"), 1U);
  Host->setRole({View, true, true});
  EXPECT_TRUE(jobReaches("second", JobRowState::Started));
}

// Guards against a former scheduler that starts gangs after a worker rejected
// its epoch.
TEST_F(GangRunnerTest, schedulerStopsAfterAWorkerRejectsItsEpoch) {
  auto Host = startHost("a");
  submitJob("first", 2);
  ASSERT_TRUE(jobReaches("first", JobRowState::Started));
  Workers.raiseEpoch(View + 1);
  ASSERT_TRUE(eventually(
      [&] { return Counters.counter("jayramp_scheduler_fenced_total") == 1; }));
  submitJob("second", 2);
  std::this_thread::sleep_for(Milliseconds(400));
  EXPECT_EQ(readRow("second").State, JobRowState::Pending);
}

// Guards against a scheduler that starts gangs, or lets leases expire, while
// its host is not permitted to serve.
TEST_F(GangRunnerTest, noGangStartsWithoutPermissionToServe) {
  auto Host = startHost("a");
  submitJob("first", 2);
  ASSERT_TRUE(jobReaches("first", JobRowState::Started));
  Host->setRole({View, true, false});
  submitJob("second", 2);
  std::this_thread::sleep_for(Milliseconds(700));
  EXPECT_EQ(readRow("second").State, JobRowState::Pending);
  // The lease of the running task is still renewed.
  EXPECT_EQ(Workers.runningTaskCount("first"), 1U);
}

// Guards against a new scheduler that stops or restarts running gangs.
TEST_F(GangRunnerTest, newSchedulerAdoptsRunningGangs) {
  auto Old = startHost("a");
  submitJob("job", 8);
  ASSERT_TRUE(jobReaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 4; }));
  Old->Runner.reset();
  writeNextView();
  auto New = startHost("b");
  std::this_thread::sleep_for(Milliseconds(900));
  EXPECT_EQ(Workers.runningTaskCount("job"), 4U);
  EXPECT_EQ(readRow("job").Attempt, 1U);
  Workers.finishAllTasks();
  EXPECT_TRUE(jobReaches("job", JobRowState::Succeeded));
}

// Guards against a job that stays reserved because the scheduler failed while
// starting its gang.
TEST_F(GangRunnerTest, newSchedulerReleasesReservedGangs) {
  JobRow Row;
  Row.Specification = {"job", "beta",         4, JobPriority::Surplus,
                       false, Milliseconds(0)};
  Row.State = JobRowState::Reserved;
  Row.Attempt = 1;
  Row.Epoch = View;
  Row.Placement = {{"w0", 0, -1}, {"w0", 1, -1}, {"w1", 0, -1}, {"w1", 1, -1}};
  ASSERT_TRUE(Reader.write("old", {Row}, 0));
  const TaskOrder Order{
      "job.1." + std::to_string(View), "job", {0, 1}, Milliseconds(5000)};
  ASSERT_TRUE(Workers.control("w0", {TaskVerb::Prepare, View, {Order}},
                              Milliseconds(50)));
  ASSERT_TRUE(Workers.control("w0", {TaskVerb::Start, View, {Order}},
                              Milliseconds(50)));
  writeNextView();
  auto Host = startHost("b");
  ASSERT_TRUE(jobReaches("job", JobRowState::Started, 2));
  EXPECT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 2; }));
}

// Guards against prepared tasks that are renewed but never started because the
// scheduler failed between writing the row as STARTED and the start calls.
TEST_F(GangRunnerTest, newSchedulerCompletesAnInterruptedStart) {
  JobRow Row;
  Row.Specification = {"job", "beta",         4, JobPriority::Surplus,
                       false, Milliseconds(0)};
  Row.State = JobRowState::Started;
  Row.Attempt = 1;
  Row.Epoch = View;
  Row.Placement = {{"w0", 0, -1}, {"w0", 1, -1}, {"w1", 0, -1}, {"w1", 1, -1}};
  ASSERT_TRUE(Reader.write("old", {Row}, 0));
  const TaskOrder Order{
      "job.1." + std::to_string(View), "job", {0, 1}, Milliseconds(1000)};
  for (const char *Worker : {"w0", "w1"})
    ASSERT_TRUE(Workers.control(Worker, {TaskVerb::Prepare, View, {Order}},
                                Milliseconds(50)));
  ASSERT_TRUE(Workers.control("w0", {TaskVerb::Start, View, {Order}},
                              Milliseconds(50)));
  writeNextView();
  auto Host = startHost("b");
  ASSERT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 2; }));
  std::this_thread::sleep_for(Milliseconds(600));
  EXPECT_EQ(Workers.runningTaskCount("job"), 2U);
  EXPECT_EQ(readRow("job").Attempt, 1U);
  Workers.finishAllTasks();
  EXPECT_TRUE(jobReaches("job", JobRowState::Succeeded));
}

// Guards against a store outage that stops running gangs, and against gangs
// that start without a durable reservation.
TEST_F(GangRunnerTest, storeOutageKeepsGangsRunningAndStartsNone) {
  auto Host = startHost("a");
  submitJob("first", 2);
  submitJob("second", 2);
  ASSERT_TRUE(jobReaches("second", JobRowState::Started));
  ASSERT_TRUE(
      eventually([&] { return Workers.runningTaskCount("second") == 1; }));
  Tables.Down = true;
  const auto PrepareCalls = Workers.callCount(TaskVerb::Prepare);
  Workers.endTasks("w3", "stopped");
  std::this_thread::sleep_for(Milliseconds(900));
  EXPECT_EQ(Workers.runningTaskCount("first") +
                Workers.runningTaskCount("second"),
            Workers.liveTaskCount());
  EXPECT_GE(Workers.liveTaskCount(), 1U);
  EXPECT_EQ(Workers.callCount(TaskVerb::Prepare), PrepareCalls);
  Tables.Down = false;
  EXPECT_TRUE(eventually([&] { return Workers.liveTaskCount() == 2; }));
}

// Guards against reclaims that skip the checkpoint, or that wait longer than
// CheckpointTimeout for tasks that ignore it.
TEST_F(GangRunnerTest, reclaimRunsCheckpointThrottleAndStop) {
  Workers.ignoreCheckpoints();
  auto Host = startHost("a");
  submitJob("surplus", 8);
  ASSERT_TRUE(jobReaches("surplus", JobRowState::Started));
  ASSERT_TRUE(
      eventually([&] { return Workers.runningTaskCount("surplus") == 4; }));
  const auto SubmittedAt = Clock::now();
  submitJob("urgent", 8, JobPriority::Urgent);
  ASSERT_TRUE(
      eventually([&] { return Workers.runningTaskCount("urgent") == 4; }));
  EXPECT_LE(Clock::now() - SubmittedAt, Milliseconds(520));
  const std::vector<TaskVerb> Expected{TaskVerb::Prepare,    TaskVerb::Start,
                                       TaskVerb::Checkpoint, TaskVerb::Throttle,
                                       TaskVerb::Stop,       TaskVerb::Prepare,
                                       TaskVerb::Start};
  EXPECT_EQ(Workers.receivedVerbs("w0"), Expected);
  EXPECT_TRUE(jobReaches("surplus", JobRowState::Pending));
}

// Guards against reclaims that wait for the throttle step although all tasks
// have saved a checkpoint.
TEST_F(GangRunnerTest, checkpointedGangIsStoppedWithoutThrottling) {
  auto Host = startHost("a");
  submitJob("surplus", 8);
  ASSERT_TRUE(jobReaches("surplus", JobRowState::Started));
  ASSERT_TRUE(
      eventually([&] { return Workers.runningTaskCount("surplus") == 4; }));
  submitJob("urgent", 8, JobPriority::Urgent);
  ASSERT_TRUE(
      eventually([&] { return Workers.runningTaskCount("urgent") == 4; }));
  const std::vector<TaskVerb> Expected{TaskVerb::Prepare,    TaskVerb::Start,
                                       TaskVerb::Checkpoint, TaskVerb::Stop,
                                       TaskVerb::Prepare,    TaskVerb::Start};
  EXPECT_EQ(Workers.receivedVerbs("w0"), Expected);
}

// Guards against a job that keeps running, or is restarted, after another host
// has recorded the client's cancellation.
TEST_F(GangRunnerTest, cancelRequestedByAnotherHostStopsTheGang) {
  auto Host = startHost("a");
  submitJob("job", 8);
  ASSERT_TRUE(jobReaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.runningTaskCount("job") == 4; }));
  auto Row = readRow("job");
  Row.CancelRequested = true;
  ASSERT_TRUE(Reader.write("cancel", {Row}, 0));
  EXPECT_TRUE(jobReaches("job", JobRowState::Cancelled));
  EXPECT_EQ(Workers.liveTaskCount(), 0U);
}

// Guards against a job that fails on every worker and is restarted without end.
TEST_F(GangRunnerTest, jobFailsAfterFailuresOnThreeWorkers) {
  auto Host = startHost("a");
  for (const char *Worker : {"w0", "w1", "w2", "w3"})
    Workers.forceNextState(Worker, TaskVerb::Start, "failed");
  submitJob("job", 2);
  EXPECT_TRUE(jobReaches("job", JobRowState::Failed));
  EXPECT_EQ(readRow("job").Reason, "FAILED_ON_DISTINCT_WORKERS");
}

} // namespace
} // namespace jayramp
