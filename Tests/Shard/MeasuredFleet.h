#pragma once

#include "SchedulerFixture.h"
#include "Scheduling/RunTimeModel.h"

#include <cmath>
#include <deque>
#include <functional>
#include <random>

namespace jayramp::scheduling {

inline auto seconds(Milliseconds Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

/// Feeds a RunTimeModel with the reports of runs on workers whose true time
/// factors are known.
class MeasuredFleet : public testing::Test {
protected:
  struct Batch {
    std::uint32_t Count = 1; ///< Tasks.
    bool Gang = false;
    bool OneRack = false; ///< All tasks run in one rack.
  };

  auto addWorker(const std::string &Id, const std::string &Zone,
                 const std::string &Rack) -> void {
    auto Report = workerReport(Id, Rack);
    Report.Zone = Zone;
    Workers[Id].Report = Report;
  }

  auto addZones(const std::vector<std::string> &Zones, int Racks, int PerRack)
      -> void {
    for (const auto &Zone : Zones)
      for (int Rack = 0; Rack < Racks; ++Rack)
        for (int Number = 0; Number < PerRack; ++Number) {
          const auto RackName = Zone + std::to_string(Rack);
          addWorker(RackName + '-' + std::to_string(Number), Zone, RackName);
        }
  }

  auto refresh() -> void {
    Now += Milliseconds(250);
    Model.refresh(Workers, Now);
  }

  auto factor(const std::string &Worker) const -> double {
    return Model.timeFactor(Workers.at(Worker));
  }

  /// Returns the geometric mean of the time factors in a zone.
  auto meanFactor(const std::string &Zone) const -> double {
    double Sum = 0;
    int Count = 0;
    for (const auto &[Id, Entry] : Workers)
      if (Entry.Report.Zone == Zone) {
        Sum += std::log(Model.timeFactor(Entry));
        ++Count;
      }
    return std::exp(Sum / Count);
  }

  /// Returns a factor between 1 / \p Limit and \p Limit.
  auto uniformFactor(double Limit) -> double {
    std::uniform_real_distribution<double> Exponent(-1, 1);
    return std::pow(Limit, Exponent(Random));
  }

  auto addJob(const Batch &Shape) -> JobEntry & {
    WorkSeconds = FixedWorkSeconds ? *FixedWorkSeconds : 4 * uniformFactor(3);
    const auto Estimate = std::llround(WorkSeconds * EstimateFactor() * 1000);
    const auto Spec = jobSpec("job" + std::to_string(Jobs.size()),
                              {.Count = Shape.Count,
                               .Gang = Shape.Gang,
                               .Estimate = Milliseconds(Estimate)});
    return Jobs.emplace_back(Spec, JobProgress{}, Now, Jobs.size());
  }

  auto startRun(JobEntry &Job, std::uint32_t Index, const std::string &Worker)
      -> scheduling::Run {
    scheduling::Run Started{{Job.Spec.Id, 0, Index, 1}, &Job, Worker};
    Started.Phase = RunPhase::Started;
    Started.AssignedAt = Started.StartedAt = Now;
    Started.LastProgressAt = Started.LastReportAt = Now;
    Started.IsFresh = true;
    return Started;
  }

  /// Reports the progress of \p Reported, \p Ms after its start.
  auto report(scheduling::Run &Reported, std::uint32_t Percent, std::int64_t Ms)
      -> void {
    const auto At = Reported.StartedAt + Milliseconds(Ms);
    Model.recordProgress(Reported, Workers.at(Reported.Worker), Percent, At);
    Reported.LastReportAt = At;
    if (Percent == Reported.ProgressPercent)
      return;
    Reported.ProgressPercent = Percent;
    Reported.LastProgressAt = At;
  }

  /// Runs jobs one after another on workers chosen at random.
  auto runJobs(int Number, const Batch &Shape) -> void {
    for (int Done = 0; Done < Number; ++Done)
      runJob(addJob(Shape), chooseWorkers(Shape));
  }

  std::function<double(const WorkerReport &)> TrueFactor =
      [](const WorkerReport &) { return 1.0; };
  std::function<double()> EstimateFactor = [this] { return uniformFactor(2); };
  double TaskNoise = 0.05; ///< Deviation of the logarithm within a step.
  std::optional<double> FixedWorkSeconds;
  std::string ResumedWorker; ///< Its runs resume at 60%.
  std::map<std::string, WorkerEntry> Workers;
  RunTimeModel Model;
  TimePoint Now = Start;

private:
  auto chooseWorkers(const Batch &Shape) -> std::vector<std::string> {
    std::vector<std::string> Ids;
    for (const auto &[Id, Entry] : Workers)
      Ids.push_back(Id);
    std::shuffle(Ids.begin(), Ids.end(), Random);
    if (Shape.OneRack) {
      const auto Rack = Workers.at(Ids.front()).Report.Rack;
      std::erase_if(Ids, [&](const std::string &Id) {
        return Workers.at(Id).Report.Rack != Rack;
      });
    }
    Ids.resize(Shape.Count);
    return Ids;
  }

  /// A run and what is not known of it before its end.
  struct TimedRun {
    scheduling::Run Live;
    double TaskMs = 0;       ///< Time of the whole task.
    double ResumedShare = 0; ///< Done when the run began.

    auto endMs() const -> std::int64_t {
      return std::llround(TaskMs * (1 - ResumedShare));
    }
    auto percentAt(std::int64_t Ms) const -> std::uint32_t {
      return static_cast<std::uint32_t>(
          100 * (ResumedShare + static_cast<double>(Ms) / TaskMs));
    }
  };

  auto startTimedRun(JobEntry &Job, std::uint32_t Index,
                     const std::string &Worker) -> TimedRun {
    constexpr double ResumedShare = 0.6;
    std::normal_distribution<double> Noise(0, TaskNoise);
    TimedRun Started{startRun(Job, Index, Worker),
                     WorkSeconds * 1000 *
                         TrueFactor(Workers.at(Worker).Report) *
                         std::exp(Noise(Random))};
    if (Worker == ResumedWorker) {
      Started.ResumedShare = ResumedShare;
      Started.Live.IsFresh = false;
    }
    return Started;
  }

  /// Reports the progress of all runs of a job every 500 ms, and the ends.
  auto runJob(JobEntry &Job, const std::vector<std::string> &Chosen) -> void {
    constexpr std::int64_t ReportIntervalMs = 500;
    std::vector<TimedRun> Running;
    for (std::uint32_t Index = 0; Index < Chosen.size(); ++Index)
      Running.push_back(startTimedRun(Job, Index, Chosen[Index]));
    auto Ms = ReportIntervalMs;
    for (; !Running.empty(); Ms += ReportIntervalMs)
      std::erase_if(Running, [&](TimedRun &Each) {
        if (Ms < Each.endMs()) {
          report(Each.Live, Each.percentAt(Ms), Ms);
          return false;
        }
        Model.recordSuccess(Each.Live, Workers.at(Each.Live.Worker),
                            Each.Live.StartedAt + Milliseconds(Each.endMs()));
        return true;
      });
    Now += Milliseconds(Ms / Parallel);
    refresh();
  }

  static constexpr int Parallel = 40; ///< Jobs that run at the same time.

  std::mt19937 Random{20260101};

  std::deque<JobEntry> Jobs;
  double WorkSeconds = 1;
};

} // namespace jayramp::scheduling
