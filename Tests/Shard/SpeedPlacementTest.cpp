// Replays loads on a pool whose workers differ in speed, on the decisions
// alone, and compares them with two baselines: the order that ignores speed,
// and the one that is told the true speeds.

#include "SchedulerFixture.h"

#include <functional>
#include <random>

namespace jayramp::scheduling {
namespace {

constexpr std::int64_t StepMs = 50;
constexpr std::int64_t StopMs = 200; ///< Until a stop has taken effect.
constexpr std::int64_t LoadMs = 40000;
constexpr std::int64_t SwapMs = LoadMs / 2;
/// Share of the baseline's urgent jobs that must be in time as well.
constexpr double RequiredShare = 0.9;

/// Returns how many times as long as on a typical worker a task takes on the
/// worker in \p Zone and \p Rack.
using TrueSpeed =
    std::function<double(char Zone, int Rack, std::int64_t NowMs)>;

enum class Knowledge { None, Learned, Told };

/// A pool of three zones with two racks of four workers each, under a load of
/// urgent gangs with little slack and of tasks with much.
class PoolReplay {
public:
  PoolReplay(TrueSpeed Speed, Knowledge Known, std::uint32_t Seed)
      : Speed(std::move(Speed)), Known(Known), Random(Seed) {
    for (int Rack = 0; Rack < 6; ++Rack)
      for (int Number = 0; Number < 4; ++Number) {
        auto Report =
            workerReport("w" + std::to_string(Rack) + std::to_string(Number),
                         "r" + std::to_string(Rack));
        Report.Zone = zoneOf(Report.Id);
        Scheduler.updateWorker(Report, at(0));
      }
  }

  /// Returns the share of the urgent jobs of the second quarter and of the last
  /// one that met their objective: the first part of the load, and the one
  /// after a change half way, are there to learn from.
  auto shareInTime() -> double {
    for (Now = 0; Now < LoadMs; Now += StepMs) {
      if (Known != Knowledge::Learned)
        Scheduler.setTimeFactors(knownFactors());
      submitJobs();
      reportProgress();
      carryOutStops();
      Scheduler.schedule(at(Now));
      for (const auto &Stop : Scheduler.takeStopDecisions())
        StopsDue.emplace_back(Now + StopMs, Stop.Run);
    }
    return static_cast<double>(InTime) / static_cast<double>(Counted);
  }

private:
  static auto zoneOf(const std::string &Worker) -> std::string {
    return std::string(1, static_cast<char>('a' + (Worker[1] - '0') / 2));
  }
  auto factorOf(const std::string &Worker) const -> double {
    return Speed(zoneOf(Worker)[0], Worker[1] - '0', Now);
  }
  auto knownFactors() const -> std::map<std::string, double> {
    std::map<std::string, double> Factors;
    if (Known == Knowledge::Told)
      for (const auto &[Id, Entry] : Scheduler.workers())
        Factors[Id] = factorOf(Id);
    return Factors;
  }

  auto submitJobs() -> void {
    if (Random() % 3 == 0) {
      auto Job = jobSpec("urgent" + std::to_string(Number++),
                         {.Priority = 0,
                          .Count = 4,
                          .Gpus = 2,
                          .Gang = true,
                          .SameRack = true,
                          .Estimate = Milliseconds(1000)});
      Job.Stretch = 1.5;
      Job.TargetLatency = Milliseconds(300);
      Scheduler.addJob(Job, {}, at(Now));
    }
    if (Random() % 15 == 0)
      Scheduler.addJob(
          jobSpec("batch" + std::to_string(Number++),
                  {.Priority = 2, .Count = 16, .Estimate = Milliseconds(4000)}),
          {}, at(Now));
  }

  /// Moves all runs on by one step and ends those that are complete. A gang
  /// ends with its slowest member.
  auto reportProgress() -> void {
    std::vector<RunId> Ids;
    for (const auto &[Id, LiveRun] : Scheduler.runs())
      if (LiveRun.Phase != RunPhase::Stopping)
        Ids.push_back(Id);
    std::map<std::string, double> LeastDone;
    for (const auto &Id : Ids) {
      const auto *LiveRun = Scheduler.run(Id);
      const auto WorkMs =
          static_cast<double>(LiveRun->Job->Spec.Steps[0].Estimate.count()) *
          factorOf(LiveRun->Worker);
      auto &Work = Done[Id];
      Work = std::min(1.0, Work + StepMs / WorkMs);
      const auto Group = LiveRun->Job->Spec.Steps[0].Gang
                             ? Id.Job
                             : Id.Job + "/" + std::to_string(Id.Index);
      LeastDone[Group] =
          std::min(Work, LeastDone.try_emplace(Group, 1.0).first->second);
      Scheduler.runProgressed(Id, static_cast<std::uint32_t>(100 * Work), {},
                              at(Now));
    }
    for (const auto &Id : Ids) {
      const auto Group = Scheduler.job(Id.Job)->Spec.Steps[0].Gang
                             ? Id.Job
                             : Id.Job + "/" + std::to_string(Id.Index);
      if (LeastDone[Group] >= 1.0)
        end(Id, RunOutcome::Succeeded);
    }
  }

  auto carryOutStops() -> void {
    for (const auto &[DueMs, Id] : StopsDue)
      if (DueMs <= Now)
        end(Id, RunOutcome::Stopped);
    std::erase_if(StopsDue,
                  [this](const auto &Each) { return Each.first <= Now; });
  }

  auto end(const RunId &Id, RunOutcome Outcome) -> void {
    if (!Scheduler.run(Id))
      return;
    Scheduler.runEnded(Id, Outcome, {}, at(Now));
    Done.erase(Id);
    const auto &Job = *Scheduler.job(Id.Job);
    const bool CountsHere = (Now / (LoadMs / 4)) % 2 == 1;
    if (Job.Spec.Priority != 0 || !Job.isAllDone() || !CountsHere ||
        Scheduler.runs().contains(Id) || !Ended.insert(Id.Job).second)
      return;
    ++Counted;
    if (std::chrono::duration<double>(at(Now) - Job.SubmittedAt).count() <=
        Job.ObjectiveSeconds)
      ++InTime;
  }

  TrueSpeed Speed;
  Knowledge Known;
  ShardScheduler Scheduler;
  std::mt19937 Random;
  std::int64_t Now = 0;
  int Number = 0;
  std::map<RunId, double> Done; ///< Share of the work that is done.
  std::vector<std::pair<std::int64_t, RunId>> StopsDue;
  std::set<std::string> Ended;
  int InTime = 0;
  int Counted = 0;
};

/// Returns the mean of several loads.
auto shareInTime(const TrueSpeed &Speed, Knowledge Known) -> double {
  constexpr std::uint32_t Loads = 4;
  double Sum = 0;
  for (std::uint32_t Seed = 1; Seed <= Loads; ++Seed)
    Sum += PoolReplay(Speed, Known, Seed).shareInTime();
  return Sum / Loads;
}

/// Expects that learned speeds serve urgent jobs nearly as well as true ones.
auto expectNearlyAsWellAsTold(const TrueSpeed &Speed) -> void {
  EXPECT_GE(shareInTime(Speed, Knowledge::Learned),
            RequiredShare * shareInTime(Speed, Knowledge::Told));
}

auto slowZone(char Zone, int, std::int64_t) -> double {
  return Zone == 'c' ? 2.4 : 1.0;
}

auto slowRack(char, int Rack, std::int64_t) -> double {
  return Rack == 3 ? 2.4 : 1.0;
}

auto swapHalfWay(char Zone, int, std::int64_t NowMs) -> double {
  return Zone == (NowMs < SwapMs ? 'c' : 'a') ? 2.4 : 1.0;
}

auto noDifference(char, int, std::int64_t) -> double { return 1.0; }

// Guards against urgent jobs that are late on slow workers while fast ones run
// work that has time.
TEST(SpeedPlacementTest, knownSpeedsKeepUrgentJobsInTime) {
  const auto Told = shareInTime(slowZone, Knowledge::Told);
  EXPECT_GE(Told, RequiredShare);
  EXPECT_GT(Told, shareInTime(slowZone, Knowledge::None));
}

TEST(SpeedPlacementTest, slowZoneIsLearned) {
  expectNearlyAsWellAsTold(slowZone);
}

TEST(SpeedPlacementTest, slowRackIsLearned) {
  expectNearlyAsWellAsTold(slowRack);
}

// Guards against speeds that are kept after they have changed.
TEST(SpeedPlacementTest, swappedSpeedsAreLearnedAnew) {
  expectNearlyAsWellAsTold(swapHalfWay);
}

// Guards against decisions that change where workers are alike.
TEST(SpeedPlacementTest, alikeWorkersAreUsedAsBefore) {
  EXPECT_DOUBLE_EQ(shareInTime(noDifference, Knowledge::Learned),
                   shareInTime(noDifference, Knowledge::None));
}

} // namespace
} // namespace jayramp::scheduling
