#pragma once

#include "Scheduling/ShardScheduler.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>

namespace jayramp::scheduling {

inline const TimePoint Start = TimePoint(std::chrono::hours(1));

/// Returns the time \p Ms milliseconds after the start of the test.
inline auto at(std::int64_t Ms) -> TimePoint {
  return Start + Milliseconds(Ms);
}

inline auto workerReport(const std::string &Id, const std::string &Rack,
                         Resources Capacity = {64000, 128000, 8})
    -> WorkerReport {
  WorkerReport Report;
  Report.Id = Id;
  Report.Service = "pool";
  Report.Address = Id;
  Report.Rack = Rack;
  Report.Capacity = Capacity;
  return Report;
}

/// The properties of a job with a single step in which tests differ.
struct JobShape {
  std::uint32_t Priority = 0;
  std::uint32_t Count = 1;
  std::int64_t Gpus = 1;
  bool Gang = false;
  bool SameRack = false;
  Milliseconds Estimate{2000};
  std::string Tenant;
  std::uint32_t MaxPerWorker = 0; ///< 0 for no limit.
};

inline auto jobSpec(const std::string &Id, const JobShape &Shape) -> JobSpec {
  JobSpec Job;
  Job.Id = Id;
  Job.Queue = "queue";
  Job.Service = "pool";
  Job.Tenant = Shape.Tenant;
  Job.Priority = Shape.Priority;
  Job.MaxAttempts = 2;
  Job.Stretch = 3;
  Job.TargetLatency = Milliseconds(1000);
  Job.Steps.resize(1);
  Job.Steps[0].Count = Shape.Count;
  Job.Steps[0].Need = {1000, 1000, Shape.Gpus};
  Job.Steps[0].Gang = Shape.Gang;
  Job.Steps[0].SameRack = Shape.SameRack;
  Job.Steps[0].MaxPerWorker = Shape.MaxPerWorker;
  Job.Steps[0].Estimate = Shape.Estimate;
  return Job;
}

/// Provides a scheduler and helpers that add workers and jobs and query runs.
class SchedulerFixture : public testing::Test {
protected:
  /// Adds \p PerRack workers with 8 accelerators to each of \p Racks racks.
  auto addWorkers(int Racks, int PerRack) -> void {
    for (int Rack = 0; Rack < Racks; ++Rack)
      for (int Number = 0; Number < PerRack; ++Number)
        Scheduler.updateWorker(
            workerReport("w" + std::to_string(Rack) + std::to_string(Number),
                         "r" + std::to_string(Rack)),
            at(0));
  }

  /// Adds a job at \p Ms.
  auto addJob(const std::string &Id, const JobShape &Shape, std::int64_t Ms = 0)
      -> void {
    Scheduler.addJob(jobSpec(Id, Shape), {}, at(Ms));
  }

  /// Returns the live runs of a job.
  auto runsOf(const std::string &Job) const -> std::vector<scheduling::Run> {
    std::vector<scheduling::Run> Result;
    for (const auto &[Id, LiveRun] : Scheduler.runs())
      if (Id.Job == Job)
        Result.push_back(LiveRun);
    return Result;
  }

  /// Returns the racks on which the live runs of a job are placed.
  auto racksOf(const std::string &Job) const -> std::set<std::string> {
    std::set<std::string> Racks;
    for (const auto &LiveRun : runsOf(Job))
      Racks.insert(Scheduler.worker(LiveRun.Worker)->Report.Rack);
    return Racks;
  }

  /// Confirms the start of all live runs at \p Ms.
  auto confirmStarts(std::int64_t Ms) -> void {
    std::vector<RunId> Ids;
    for (const auto &[Id, LiveRun] : Scheduler.runs())
      Ids.push_back(Id);
    for (const auto &Id : Ids)
      Scheduler.runStarted(Id, at(Ms));
  }

  /// Ends the runs that have lasted for \p Duration at \p Ms, or else for their
  /// estimates.
  auto endRuns(std::int64_t Ms, std::optional<Milliseconds> Duration = {})
      -> void {
    std::vector<RunId> Ended;
    for (const auto &[Id, LiveRun] : Scheduler.runs())
      if (at(Ms) - LiveRun.AssignedAt >=
          Duration.value_or(LiveRun.Job->Spec.Steps[Id.Step].Estimate))
        Ended.push_back(Id);
    for (const auto &Id : Ended)
      Scheduler.runEnded(Id, RunOutcome::Succeeded, "", at(Ms));
  }

  ShardScheduler Scheduler;
};

} // namespace jayramp::scheduling
