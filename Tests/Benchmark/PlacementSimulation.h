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
  double ArrivesAt = 0; ///< Seconds.
  double Runs = 0;      ///< Actual run time in seconds; the hint is wrong.
};

/// A cluster with its accounts and the jobs of one run.
struct SimulatedCluster {
  std::string Name;
  std::vector<WorkerDescription> Workers;
  std::vector<AccountPolicy> Accounts;
  std::vector<SimulatedJob> Jobs;
  double Seconds = 0;
  std::uint64_t Seed = 0;
};

struct SimulationReport {
  std::uint32_t Finished = 0;
  std::uint32_t Unfinished = 0;
  double MeanCompletion = 0; ///< Seconds from submission to end.
  double P95Completion = 0;
  double SurplusUsed = 0; ///< 0 to 1, while waiting jobs fit.
  std::uint32_t Probes = 0;
  std::uint32_t BrokenGuarantees = 0;
  std::uint32_t ReclaimedGangs = 0;
  double MeanLargestGang = 0; ///< Over the second half of the run.
  double MeanFree = 0;
  double MeanIdealGang = 0; ///< If all free capacity were one block, up to 64.
  double DecisionP50 = 0;   ///< Microseconds, decisions that placed a job.
  double DecisionP99 = 0;
  double ProcessorP99 = 0; ///< Same, processor time only.
  std::uint32_t Decisions = 0;
};

/// Drives a JobScheduler with a workload on simulated time. Workers fail at
/// random, 13 a day, and return after 15 minutes.
class PlacementSimulation {
public:
  /// \p Guarantees false takes the guarantees from the scheduler, but the
  /// probes still ask for them: first fit with no reclaim check.
  PlacementSimulation(const SimulatedCluster &Cluster, PlacementRule Rule,
                      bool Guarantees);

  auto run() -> SimulationReport;

private:
  enum class EventKind {
    Arrival,
    Finish,
    Stopped,
    Probe,
    ProbeCheck,
    Sample,
    Lost,
    Returned
  };
  struct Event {
    double At = 0;
    std::uint64_t Order = 0;
    EventKind Kind = EventKind::Arrival;
    std::string Name;
    std::uint32_t Number = 0;

    auto operator>(const Event &Other) const -> bool {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };
  struct Progress {
    double ArrivedAt = 0;
    double Remaining = 0;
    double StartedAt = 0;
    bool Probe = false;
    bool Guaranteed = false;
  };

  auto push(double At, EventKind Kind, std::string Name,
            std::uint32_t Number = 0) -> void;
  auto handle(const Event &Next) -> void;
  auto finish(const std::string &Job, std::uint32_t Attempt) -> void;
  auto startProbe(std::uint32_t Number) -> void;
  auto decide() -> void;
  auto carryOut(const Decision &Made) -> void;
  auto pauseWork(const std::string &Job) -> void;
  auto account(double Until) -> void;
  auto idleWhileFitting() const -> std::uint32_t;
  auto time() const -> TimePoint;

  const SimulatedCluster &Cluster;
  JobScheduler Scheduler;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::map<std::string, Progress> Work;
  std::vector<double> Completions;
  std::vector<double> DecisionTimes;
  std::vector<double> ProcessorTimes;
  SimulationReport Report;
  std::uint64_t NextOrder = 0;
  double Now = 0;
  double SurplusSeconds = 0;
  double IdleSeconds = 0;
  double LargestSum = 0;
  double FreeSum = 0;
  double IdealSum = 0;
  std::uint32_t Samples = 0;
  std::uint32_t Idle = 0;
  std::uint32_t Surplus = 0;
};

} // namespace jayramp
