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

constexpr Milliseconds Patience{6000};

auto eventually(const std::function<bool()> &Holds,
                Milliseconds Limit = Patience) -> bool {
  const auto End = Clock::now() + Limit;
  while (Clock::now() < End) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return false;
}

/// Four workers with two accelerators each, in one rack; "alpha" has a
/// guarantee of all eight. Times are a tenth of the real ones.
struct GangRunnerTest : ::testing::Test {
  struct Host {
    std::mutex Mutex;
    SchedulerRole Role;
    std::unique_ptr<JobStore> Store;
    std::unique_ptr<GangRunner> Runner;

    auto setRole(SchedulerRole Newer) -> void {
      std::lock_guard Lock(Mutex);
      Role = Newer;
    }
  };

  GangRunnerTest() { writeView(); }

  auto writeView() -> void {
    ++View;
    ASSERT_TRUE(Tables.commit({"view-" + std::to_string(View),
                               {},
                               {{"membership", "view", View - 1, "{}"}}}));
  }

  auto startHost(const std::string &Name) -> std::unique_ptr<Host> {
    auto Made = std::make_unique<Host>();
    Made->Role = {View, true, true};
    Made->Store = std::make_unique<JobStore>(Tables, Objects);
    GangRunner::Options Options{.HostName = Name,
                                .SurplusLease = Milliseconds(400),
                                .GuaranteedLease = Milliseconds(1000),
                                .CheckpointTimeout = Milliseconds(100),
                                .ThrottleTimeout = Milliseconds(50),
                                .StopTimeout = Milliseconds(100),
                                .RenewInterval = Milliseconds(100),
                                .PollInterval = Milliseconds(50),
                                .CallTimeout = Milliseconds(50),
                                .WorkerCallThreads = 4};
    GangRunnerInputs Inputs{
        .ReadRole =
            [Body = Made.get()] {
              std::lock_guard Lock(Body->Mutex);
              return Body->Role;
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
    Made->Runner = std::make_unique<GangRunner>(Options, Inputs, *Made->Store,
                                                Workers, Counters);
    Made->Runner->start();
    return Made;
  }

  auto submit(const std::string &Id, std::uint32_t Size,
              JobPriority Priority = JobPriority::Surplus) -> void {
    JobRow Row;
    Row.Specification = {
        Id,    Priority == JobPriority::Surplus ? "beta" : "alpha",
        Size,  Priority,
        false, Milliseconds(0)};
    Row.SubmittedMs = ++Submitted;
    ASSERT_TRUE(Reader.write("submit-" + Id, {Row}, 0));
  }

  auto row(const std::string &Id) -> JobRow {
    auto Read = Reader.read(Id);
    return Read && Read.value() ? *Read.value() : JobRow();
  }
  auto reaches(const std::string &Id, JobRowState State,
               std::uint32_t Attempt = 0) -> bool {
    return eventually([&] {
      auto Row = row(Id);
      return Row.State == State && (Attempt == 0 || Row.Attempt == Attempt);
    });
  }

  test::FakeTableService Tables;
  test::FakeObjectStore Objects;
  test::FakeWorkerClient Workers;
  Metrics Counters;
  JobStore Reader{Tables, Objects};
  std::uint64_t View = 0;
  std::int64_t Submitted = 1'700'000'000'000;
};

TEST_F(GangRunnerTest, gangStartsWholeRunsLongerThanItsLeaseAndEnds) {
  auto Host = startHost("a");
  submit("job", 7);
  ASSERT_TRUE(reaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.running("job") == 4; }));
  std::this_thread::sleep_for(Milliseconds(900));
  EXPECT_EQ(Workers.running("job"), 4U);
  Workers.finishAll();
  EXPECT_TRUE(reaches("job", JobRowState::Succeeded));
  EXPECT_EQ(row("job").Attempt, 1U);
}

struct Failure {
  const char *Name;
  std::function<void(GangRunnerTest &)> Inject;
};

struct GangStepTest : GangRunnerTest, ::testing::WithParamInterface<Failure> {};

// Guards against a failed step that leaves a part of the gang behind or the
// job reserved for ever.
TEST_P(GangStepTest, failedStepReleasesEverythingAndRaisesTheAttempt) {
  GetParam().Inject(*this);
  auto Host = startHost("a");
  submit("job", 8);
  ASSERT_TRUE(reaches("job", JobRowState::Started, 2));
  ASSERT_TRUE(eventually([&] { return Workers.running("job") == 4; }));
  for (const auto &Task : Workers.tasks()) {
    const bool First = Task.Order.Task.find(".1.") != std::string::npos;
    EXPECT_EQ(Task.live(), !First) << Task.Order.Task;
  }
  Workers.finishAll();
  EXPECT_TRUE(reaches("job", JobRowState::Succeeded));
}

INSTANTIATE_TEST_SUITE_P(
    Steps, GangStepTest,
    ::testing::Values(
        Failure{"prepareRefused",
                [](GangRunnerTest &Test) {
                  Test.Workers.answerNext("w2", TaskVerb::Prepare, "failed");
                }},
        Failure{"prepareNotReceived",
                [](GangRunnerTest &Test) {
                  Test.Workers.loseNext("w2", TaskVerb::Prepare, false);
                }},
        Failure{"prepareAnswerLost",
                [](GangRunnerTest &Test) {
                  Test.Workers.loseNext("w2", TaskVerb::Prepare, true);
                }},
        Failure{"startFailed",
                [](GangRunnerTest &Test) {
                  Test.Workers.answerNext("w2", TaskVerb::Start, "failed");
                }},
        Failure{"startNotReceived",
                [](GangRunnerTest &Test) {
                  Test.Workers.loseNext("w2", TaskVerb::Start, false);
                }},
        Failure{"startAnswerLost",
                [](GangRunnerTest &Test) {
                  Test.Workers.loseNext("w2", TaskVerb::Start, true);
                }}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against a lost answer of the store that is taken for a conflict.
TEST_F(GangRunnerTest, lostStoreAnswersDoNotDisturbAStart) {
  auto Host = startHost("a");
  submit("job", 8);
  Tables.loseNextAnswer("jobs");
  ASSERT_TRUE(reaches("job", JobRowState::Started, 1));
  EXPECT_TRUE(eventually([&] { return Workers.running("job") == 4; }));
}

// Guards against survivors whose leases are renewed after the loss of a member
// and that outlive it by more than one lease when the scheduler then dies.
TEST_F(GangRunnerTest, renewalEndsWhenOneMemberIsLost) {
  auto Host = startHost("a");
  submit("job", 8, JobPriority::Surplus);
  ASSERT_TRUE(reaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.running("job") == 4; }));
  std::this_thread::sleep_for(Milliseconds(200));
  const auto LostAt = Clock::now();
  Workers.setReachable("w1", false);
  Workers.endTasks("w1", "stopped");
  std::this_thread::sleep_for(Milliseconds(350));
  Host->setRole({View, false, false});
  std::this_thread::sleep_for(Milliseconds(700));
  for (const auto &Task : Workers.tasks()) {
    ASSERT_FALSE(Task.live()) << Task.Worker;
    // A lease and one round of renewals.
    EXPECT_LE(Task.EndedAt - LostAt, Milliseconds(400 + 100 + 60))
        << Task.Worker;
  }
}

// Guards against a gang whose remaining part goes on, and a job that is
// forgotten, when a worker is lost.
TEST_F(GangRunnerTest, lossOfAWorkerStopsTheRestAndRestartsTheJob) {
  auto Host = startHost("a");
  submit("job", 6);
  ASSERT_TRUE(reaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.running("job") == 3; }));
  const auto Lost = row("job").Placement.front().Worker;
  Workers.setReachable(Lost, false);
  ASSERT_TRUE(reaches("job", JobRowState::Started, 2));
  for (const auto &Place : row("job").Placement)
    EXPECT_NE(Place.Worker, Lost);
  EXPECT_TRUE(eventually([&] { return Workers.running("job") == 3; }));
}

// Guards against one missed answer that stops a gang.
TEST_F(GangRunnerTest, oneMissedRenewalDoesNotStopTheGang) {
  auto Host = startHost("a");
  submit("job", 8);
  ASSERT_TRUE(reaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.running("job") == 4; }));
  Workers.loseNext("w3", TaskVerb::Renew, false);
  std::this_thread::sleep_for(Milliseconds(1000));
  EXPECT_EQ(Workers.running("job"), 4U);
  EXPECT_EQ(row("job").Attempt, 1U);
}

// Guards against a former scheduler that reserves or prepares after another
// host has changed the view.
TEST_F(GangRunnerTest, schedulerOfAnOldViewStartsNothing) {
  auto Host = startHost("a");
  submit("first", 2);
  ASSERT_TRUE(reaches("first", JobRowState::Started));
  writeView(); // The host has not adopted it.
  submit("second", 2);
  std::this_thread::sleep_for(Milliseconds(600));
  EXPECT_EQ(row("second").State, JobRowState::Pending);
  EXPECT_EQ(Workers.running("second"), 0U);
  EXPECT_EQ(Counters.counter("jayramp_scheduler_fenced_total"), 1U);
  Host->setRole({View, true, true});
  EXPECT_TRUE(reaches("second", JobRowState::Started));
}

// Guards against a former scheduler that goes on after a worker refused its
// epoch.
TEST_F(GangRunnerTest, refusalByAWorkerStopsTheScheduler) {
  auto Host = startHost("a");
  submit("first", 2);
  ASSERT_TRUE(reaches("first", JobRowState::Started));
  Workers.raiseEpoch(View + 1);
  ASSERT_TRUE(eventually(
      [&] { return Counters.counter("jayramp_scheduler_fenced_total") == 1; }));
  submit("second", 2);
  std::this_thread::sleep_for(Milliseconds(400));
  EXPECT_EQ(row("second").State, JobRowState::Pending);
}

// Guards against a host that acts while the serving gate refuses.
TEST_F(GangRunnerTest, nothingStartsWithoutPermission) {
  auto Host = startHost("a");
  submit("first", 2);
  ASSERT_TRUE(reaches("first", JobRowState::Started));
  Host->setRole({View, true, false});
  submit("second", 2);
  std::this_thread::sleep_for(Milliseconds(700));
  EXPECT_EQ(row("second").State, JobRowState::Pending);
  EXPECT_EQ(Workers.running("first"), 1U); // Its lease is renewed.
}

// Guards against running gangs that a new scheduler interrupts.
TEST_F(GangRunnerTest, newSchedulerAdoptsRunningGangs) {
  auto Old = startHost("a");
  submit("job", 8);
  ASSERT_TRUE(reaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.running("job") == 4; }));
  Old->Runner.reset();
  writeView();
  auto New = startHost("b");
  std::this_thread::sleep_for(Milliseconds(900));
  EXPECT_EQ(Workers.running("job"), 4U);
  EXPECT_EQ(row("job").Attempt, 1U);
  Workers.finishAll();
  EXPECT_TRUE(reaches("job", JobRowState::Succeeded));
}

// Guards against a job that stays reserved for ever because its scheduler died
// during the start.
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
  writeView();
  auto Host = startHost("b");
  ASSERT_TRUE(reaches("job", JobRowState::Started, 2));
  EXPECT_TRUE(eventually([&] { return Workers.running("job") == 2; }));
}

// Guards against prepared tasks that are renewed for ever because the scheduler
// died after the row and before the start.
TEST_F(GangRunnerTest, newSchedulerFinishesAStartThatWasCutOff) {
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
  writeView();
  auto Host = startHost("b");
  ASSERT_TRUE(eventually([&] { return Workers.running("job") == 2; }));
  std::this_thread::sleep_for(Milliseconds(600));
  EXPECT_EQ(Workers.running("job"), 2U);
  EXPECT_EQ(row("job").Attempt, 1U);
  Workers.finishAll();
  EXPECT_TRUE(reaches("job", JobRowState::Succeeded));
}

// Guards against an outage that ends running gangs, and against starts that no
// row records.
TEST_F(GangRunnerTest, outageKeepsGangsAndReservesNothing) {
  auto Host = startHost("a");
  submit("first", 2);
  submit("second", 2);
  ASSERT_TRUE(reaches("second", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.running("second") == 1; }));
  Tables.Down = true;
  const auto Prepared = Workers.calls(TaskVerb::Prepare);
  Workers.endTasks("w3", "stopped");
  std::this_thread::sleep_for(Milliseconds(900));
  EXPECT_EQ(Workers.running("first") + Workers.running("second"),
            Workers.live());
  EXPECT_GE(Workers.live(), 1U);
  EXPECT_EQ(Workers.calls(TaskVerb::Prepare), Prepared);
  Tables.Down = false;
  EXPECT_TRUE(eventually([&] { return Workers.live() == 2; }));
}

// Guards against reclaims that skip the checkpoint or wait for tasks that
// ignore it.
TEST_F(GangRunnerTest, reclaimGoesThroughCheckpointThrottleAndStop) {
  Workers.ignoreCheckpoint();
  auto Host = startHost("a");
  submit("surplus", 8);
  ASSERT_TRUE(reaches("surplus", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.running("surplus") == 4; }));
  const auto Begin = Clock::now();
  submit("urgent", 8, JobPriority::Urgent);
  ASSERT_TRUE(eventually([&] { return Workers.running("urgent") == 4; }));
  EXPECT_LE(Clock::now() - Begin, Milliseconds(520));
  const std::vector<TaskVerb> Expected{TaskVerb::Prepare,    TaskVerb::Start,
                                       TaskVerb::Checkpoint, TaskVerb::Throttle,
                                       TaskVerb::Stop,       TaskVerb::Prepare,
                                       TaskVerb::Start};
  EXPECT_EQ(Workers.verbs("w0"), Expected);
  EXPECT_TRUE(reaches("surplus", JobRowState::Pending));
}

TEST_F(GangRunnerTest, checkpointedGangIsStoppedAtOnce) {
  auto Host = startHost("a");
  submit("surplus", 8);
  ASSERT_TRUE(reaches("surplus", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.running("surplus") == 4; }));
  submit("urgent", 8, JobPriority::Urgent);
  ASSERT_TRUE(eventually([&] { return Workers.running("urgent") == 4; }));
  const std::vector<TaskVerb> Expected{TaskVerb::Prepare,    TaskVerb::Start,
                                       TaskVerb::Checkpoint, TaskVerb::Stop,
                                       TaskVerb::Prepare,    TaskVerb::Start};
  EXPECT_EQ(Workers.verbs("w0"), Expected);
}

// Guards against a cancelled job that is started again.
TEST_F(GangRunnerTest, cancelRequestedByAnotherHostStopsTheGang) {
  auto Host = startHost("a");
  submit("job", 8);
  ASSERT_TRUE(reaches("job", JobRowState::Started));
  ASSERT_TRUE(eventually([&] { return Workers.running("job") == 4; }));
  auto Row = row("job");
  Row.CancelRequested = true;
  ASSERT_TRUE(Reader.write("cancel", {Row}, 0));
  EXPECT_TRUE(reaches("job", JobRowState::Cancelled));
  EXPECT_EQ(Workers.live(), 0U);
}

// Guards against a job that fails everywhere and is restarted for ever.
TEST_F(GangRunnerTest, jobThatFailsOnThreeWorkersIsFailed) {
  auto Host = startHost("a");
  for (const char *Worker : {"w0", "w1", "w2", "w3"})
    Workers.answerNext(Worker, TaskVerb::Start, "failed");
  submit("job", 2);
  EXPECT_TRUE(reaches("job", JobRowState::Failed));
  EXPECT_EQ(row("job").Reason, "FAILED_ON_DISTINCT_WORKERS");
}

} // namespace
} // namespace jayramp
