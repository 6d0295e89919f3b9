#pragma once

#include "Jobs/JobScheduler.h"

#include <cstdint>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace jayramp {

/// One job of the synthetic workload.
struct SimulatedJob {
  JobSpecification Specification;
  double ArrivalTime = 0; ///< Seconds since the start of the run.
  double RunSeconds = 0;  ///< Actual; differs from the declared run time.
};

/// A cluster with its accounts and the jobs of one run.
struct SimulatedCluster {
  std::string Name;
  std::vector<WorkerDescription> Workers;
  std::vector<AccountPolicy> Accounts;
  std::vector<SimulatedJob> Jobs;
  double DurationSeconds = 0;
  std::uint64_t Seed = 0;
};

/// Result of one simulated run.
struct SimulationReport {
  std::uint32_t FinishedJobs = 0;
  std::uint32_t UnfinishedJobs = 0;
  double MeanCompletionSeconds = 0; ///< From submission to end.
  double P95CompletionSeconds = 0;
  /// Used share, 0 to 1, of the accelerator time available to surplus gangs.
  /// Counts used accelerators only while jobs wait, and free accelerators only
  /// as far as waiting jobs fit on them.
  double SurplusUtilization = 0;
  std::uint32_t ProbeCount = 0;       ///< Urgent jobs that tested a guarantee.
  std::uint32_t BrokenGuarantees = 0; ///< Probes that did not start in time.
  std::uint32_t ReclaimedGangs = 0;
  double MeanLargestGangSize = 0;  ///< Over the second half of the run.
  double MeanFreeAccelerators = 0; ///< Over the second half of the run.
  /// Mean size of the largest gang if all free accelerators formed one block,
  /// 64 at most. Over the second half of the run.
  double MeanIdealGangSize = 0;
  /// Wall time of the decisions that started or reclaimed gangs.
  double DecisionP50Micros = 0;
  double DecisionP99Micros = 0;
  double DecisionCpuP99Micros = 0; ///< CPU time of the same decisions.
  std::uint32_t DecisionCount = 0;
};

/// Runs a JobScheduler with a workload on simulated time. Workers fail at
/// random, 13 a day, and return after 15 minutes. Every hour urgent jobs
/// ("probes") ask for all unused guaranteed capacity of one account and check
/// that they start in time.
class PlacementSimulation {
public:
  /// If \p KeepGuarantees is false, the scheduler gets the accounts without
  /// their guarantees, while the probes still ask for the guaranteed capacity.
  /// With first fit this is the baseline without a reclaim check.
  PlacementSimulation(const SimulatedCluster &Cluster, PlacementRule Rule,
                      bool KeepGuarantees);

  /// Runs the simulation to its end; call it once.
  auto run() -> SimulationReport;

private:
  enum class EventKind {
    JobArrival,
    JobFinish,
    GangStopped,
    ProbeSubmission,
    ProbeCheck,
    Sample,
    WorkerLost,
    WorkerReturned
  };
  struct Event {
    double At = 0; ///< Seconds since the start of the run.
    std::uint64_t SequenceNumber = 0;
    EventKind Kind = EventKind::JobArrival;
    std::string Name;         ///< Of a job or worker, depending on Kind.
    std::uint32_t Number = 0; ///< Index of a job, attempt, or hour of a probe.

    auto operator>(const Event &Other) const -> bool {
      return At != Other.At ? At > Other.At
                            : SequenceNumber > Other.SequenceNumber;
    }
  };
  /// A job that has arrived and not ended. Times are in seconds.
  struct JobProgress {
    double ArrivedAt = 0;
    double RemainingSeconds = 0;
    double StartedAt = 0;
    bool IsProbe = false;
    bool Guaranteed = false;
  };

  auto pushEvent(double At, EventKind Kind, std::string Name,
                 std::uint32_t Number = 0) -> void;
  auto handleEvent(const Event &Next) -> void;
  auto finishJob(const std::string &Job, std::uint32_t Attempt) -> void;
  /// Submits urgent jobs for all unused guaranteed capacity of one account,
  /// which \p Number selects.
  auto submitProbes(std::uint32_t Number) -> void;
  /// Lets the scheduler decide and applies its decisions.
  auto decide() -> void;
  auto applyDecision(const Decision &NewDecision) -> void;
  /// Updates the remaining run time of a job whose gang stops.
  auto pauseJob(const std::string &Job) -> void;
  /// Adds the use of surplus capacity from Now to \p Until to the totals.
  auto addSurplusTime(double Until) -> void;
  /// Returns the number of free accelerators that waiting jobs could use.
  auto countUsableIdleAccelerators() const -> std::uint32_t;
  auto currentTime() const -> TimePoint;

  const SimulatedCluster &Cluster;
  JobScheduler Scheduler;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::map<std::string, JobProgress> ActiveJobs;
  std::vector<double> CompletionSeconds;
  std::vector<double> DecisionMicros;
  std::vector<double> DecisionCpuMicros;
  SimulationReport Report;
  std::uint64_t NextSequenceNumber = 0;
  double Now = 0; ///< Seconds since the start of the run.
  double SurplusAcceleratorSeconds = 0;
  double IdleAcceleratorSeconds = 0;
  double LargestGangSum = 0;
  double FreeAcceleratorSum = 0;
  double IdealGangSum = 0;
  std::uint32_t SampleCount = 0;
  std::uint32_t UsableIdleAccelerators = 0;
  std::uint32_t SurplusAccelerators = 0;
};

} // namespace jayramp
