#include "SchedulerFixture.h"

#include <algorithm>
#include <functional>

namespace jayramp::scheduling {
namespace {

/// Tasks that wait beside workers with room for them twice over, in a pool that
/// is less than half in use.
class WaitBoundTest : public SchedulerFixture {
protected:
  static constexpr std::int64_t StepMs = 50;
  /// No job may have nothing running for longer.
  static constexpr std::int64_t LongestWaitMs = 3000;

  /// Makes a pass every 50 ms from \p From until all tasks of \p Job have
  /// started, at most until \p Until, and returns when that was. \p Handle is
  /// called after each pass for each run that no worker has confirmed; it
  /// returns whether the worker starts the run.
  auto
  waitForStart(const std::string &Job, std::int64_t From, std::int64_t Until,
               const std::function<bool(const RunId &, std::int64_t)> &Handle)
      -> std::int64_t {
    for (auto Ms = From; Ms <= Until; Ms += StepMs) {
      Scheduler.schedule(at(Ms));
      for (const auto &LiveRun : unconfirmedRuns()) {
        // The end of one member of a gang may stop others.
        const auto *Current = Scheduler.run(LiveRun.Id);
        if (!Current)
          continue;
        if (Current->Phase == RunPhase::Stopping)
          Scheduler.runLost(LiveRun.Id, at(Ms));
        else if (Handle(LiveRun.Id, Ms))
          Scheduler.runStarted(LiveRun.Id, at(Ms));
      }
      if (hasStarted(Job))
        return Ms;
    }
    return Until + StepMs;
  }

  auto isOn(const RunId &Id, const std::string &Rack) const -> bool {
    return Scheduler.worker(Scheduler.run(Id)->Worker)->Report.Rack == Rack;
  }

private:
  auto hasStarted(const std::string &Job) const -> bool {
    const auto LiveRuns = runsOf(Job);
    return Scheduler.job(Job)->waitingTasks() == 0 &&
           std::all_of(LiveRuns.begin(), LiveRuns.end(), [](const auto &Each) {
             return Each.Phase == RunPhase::Started;
           });
  }

  auto unconfirmedRuns() const -> std::vector<scheduling::Run> {
    std::vector<scheduling::Run> Result;
    for (const auto &[Id, LiveRun] : Scheduler.runs())
      if (LiveRun.Phase != RunPhase::Started)
        Result.push_back(LiveRun);
    return Result;
  }
};

// Guards against a task that only tries workers that refuse it: the first of
// them is back in use before the last has been tried.
TEST_F(WaitBoundTest, workersThatRefuseKeepATaskFromTheOthers) {
  addWorkers(2, 16);
  addJob("task", {1, 1, 1});
  const auto StartedAt =
      waitForStart("task", 0, 20000, [this](const RunId &Id, std::int64_t Ms) {
        if (!isOn(Id, "r0"))
          return true;
        Scheduler.recordStartRefused(Scheduler.run(Id)->Worker, at(Ms));
        Scheduler.runLost(Id, at(Ms));
        return false;
      });
  EXPECT_LE(StartedAt, LongestWaitMs);
}

// Guards against the same for a gang, of which one member is refused each time.
TEST_F(WaitBoundTest, workersThatRefuseKeepAGangFromTheOthers) {
  addWorkers(2, 16);
  addJob("gang", {1, 4, 8, true});
  const auto StartedAt =
      waitForStart("gang", 0, 20000, [this](const RunId &Id, std::int64_t Ms) {
        if (!isOn(Id, "r0"))
          return true;
        Scheduler.recordStartRefused(Scheduler.run(Id)->Worker, at(Ms));
        Scheduler.runLost(Id, at(Ms));
        return false;
      });
  EXPECT_LE(StartedAt, LongestWaitMs);
}

// Guards against a task that returns to the same worker each time, because its
// own delay is over at the same time as that of the worker.
TEST_F(WaitBoundTest, taskReturnsToAWorkerThatItCannotBeSentTo) {
  addWorkers(2, 1);
  addJob("task", {1, 1, 1});
  const auto StartedAt =
      waitForStart("task", 0, 20000, [this](const RunId &Id, std::int64_t Ms) {
        if (!isOn(Id, "r0"))
          return true;
        Scheduler.runUnsent(Id, true, at(Ms));
        return false;
      });
  EXPECT_LE(StartedAt, LongestWaitMs);
}

// Guards against the same for a gang, whose members are dropped one by one.
TEST_F(WaitBoundTest, gangReturnsToAWorkerThatItCannotBeSentTo) {
  addWorkers(2, 4);
  addJob("gang", {1, 2, 8, true});
  const auto StartedAt =
      waitForStart("gang", 0, 20000, [this](const RunId &Id, std::int64_t Ms) {
        if (Scheduler.run(Id)->Worker != "w00")
          return true;
        Scheduler.runUnsent(Id, true, at(Ms));
        return false;
      });
  EXPECT_LE(StartedAt, LongestWaitMs);
}

// Guards against a gang that waits beside idle workers because a few tasks that
// make no progress anywhere go from worker to worker, each of which gets
// nothing for a while.
TEST_F(WaitBoundTest, hungTasksKeepMostOfThePoolInQuarantine) {
  addWorkers(1, 12);
  for (const auto *Id : {"hung0", "hung1", "hung2"})
    addJob(Id, {1, 1, 8});
  bool IsPlaced = false;
  for (std::int64_t Ms = 0; Ms <= 60000 && !IsPlaced; Ms += StepMs) {
    if (Ms == 10000)
      addJob("gang", {1, 4, 8, true}, Ms);
    Scheduler.schedule(at(Ms));
    IsPlaced = !runsOf("gang").empty();
    for (const auto &[Id, LiveRun] : std::map(Scheduler.runs()))
      if (LiveRun.Phase == RunPhase::Stopping)
        Scheduler.runEnded(Id, RunOutcome::Stopped, {}, at(Ms));
      else
        Scheduler.runProgressed(Id, 0, {}, at(Ms));
  }
  EXPECT_TRUE(IsPlaced);
}

// Guards against the same by tasks that fail wherever they run.
TEST_F(WaitBoundTest, failingTasksKeepMostOfThePoolInQuarantine) {
  addWorkers(1, 12);
  int Next = 0;
  bool IsPlaced = false;
  for (std::int64_t Ms = 0; Ms <= 60000 && !IsPlaced; Ms += StepMs) {
    if (Ms % 500 == 0)
      addJob("failing" + std::to_string(Next++),
             {1, 4, 1, false, false, Milliseconds(500), "", 1}, Ms);
    if (Ms == 10000)
      addJob("gang", {1, 6, 8, true}, Ms);
    Scheduler.schedule(at(Ms));
    IsPlaced = !runsOf("gang").empty();
    for (const auto &[Id, LiveRun] : std::map(Scheduler.runs()))
      if (LiveRun.Phase == RunPhase::Assigned)
        Scheduler.runStarted(Id, at(Ms));
      else
        Scheduler.runEnded(Id,
                           LiveRun.Phase == RunPhase::Stopping
                               ? RunOutcome::Stopped
                               : RunOutcome::Failed,
                           {}, at(Ms));
  }
  EXPECT_TRUE(IsPlaced);
}

// Guards against a gang that only the workers of one rack may run, and that
// never finds all of them free beside an idle pool: tasks that may run anywhere
// are put where least is free, so they keep coming to the same workers.
TEST_F(WaitBoundTest, smallTasksKeepALabelledGangFromAnIdlePool) {
  for (int Number = 0; Number < 16; ++Number) {
    const auto Rack = "r" + std::to_string(Number / 4);
    auto Report = workerReport("w" + std::to_string(100 + Number), Rack);
    Report.Labels = {Rack};
    Scheduler.updateWorker(Report, at(0));
  }
  auto Gang = jobSpec("gang", {1, 4, 8, true});
  Gang.Steps[0].RequiredLabel = "r0";
  bool IsPlaced = false;
  for (std::int64_t Ms = 0; Ms <= 60000 && !IsPlaced; Ms += StepMs) {
    if (Ms % 200 == 0)
      addJob("small" + std::to_string(Ms), {1, 1, 1}, Ms);
    if (Ms == 1000)
      Scheduler.addJob(Gang, {}, at(Ms));
    Scheduler.schedule(at(Ms));
    IsPlaced = !runsOf("gang").empty();
    endRuns(Ms);
  }
  EXPECT_TRUE(IsPlaced);
}

} // namespace
} // namespace jayramp::scheduling
