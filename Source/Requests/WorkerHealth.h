#pragma once

#include "Base/Result.h"
#include "Requests/HealthPolicy.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayramp {

/// Circuit breakers of the workers that this host uses. A circuit opens after
/// failures and for latency outliers.
///
/// Not synchronized: the caller holds one mutex during every call, queries
/// included.
class WorkerHealth {
public:
  enum class CircuitState {
    Closed,     ///< Normal traffic.
    Open,       ///< No traffic.
    HalfOpen,   ///< One trial request at a time.
    Recovering, ///< A growing share of normal traffic.
  };

  /// Returns InvalidArgument if a value of \p Policy is out of range.
  static auto make(HealthPolicy Policy) -> Result<WorkerHealth>;

  /// Records the start of an attempt at the worker. If a trial is due, the
  /// attempt becomes the trial.
  auto recordStart(std::string_view Worker, TimePoint Now) -> void;

  /// Records that the worker answered, even if the answer says that the request
  /// failed. \p Latency is given only for short work, whose latency depends on
  /// the worker rather than on the request.
  auto recordSuccess(std::string_view Worker,
                     std::optional<Milliseconds> Latency, TimePoint Now)
      -> void;

  /// Records that the worker did not answer, sent an incomplete answer or
  /// reported an internal error.
  auto recordFailure(std::string_view Worker, TimePoint Now) -> void;

  /// Records that an attempt ended without showing whether the worker is
  /// healthy, for example because it was refused as busy or cancelled.
  auto recordNoResult(std::string_view Worker) -> void;

  /// Opens the circuits of latency outliers and returns these workers. Called
  /// periodically.
  auto ejectOutliers(TimePoint Now) -> std::vector<std::string>;

  /// Removes all state of a worker.
  auto removeWorker(std::string_view Worker) -> void;

  /// Returns the share of its normal traffic that the worker may get, 0 to 1. A
  /// worker with a trial due has a small share until recordStart() is called.
  auto trafficShare(std::string_view Worker, TimePoint Now) const -> double;
  auto circuitState(std::string_view Worker, TimePoint Now) const
      -> CircuitState;

private:
  struct WorkerState {
    CircuitState State = CircuitState::Closed;
    std::uint32_t ConsecutiveFailures = 0;
    double Successes = 0.0;
    double Failures = 0.0;
    TimePoint DecayedAt;
    double LatencyMs = 0.0;
    double LatencySamples = 0.0;
    TimePoint OpenUntil;
    Milliseconds OpenDuration{0};
    bool TrialInProgress = false;
    TimePoint TrialStarted;
    double Share = 1.0;
    bool EjectedForLatency = false;
  };

  explicit WorkerHealth(HealthPolicy Policy);

  auto findOrAddWorker(std::string_view Worker) -> WorkerState &;
  auto decayCounts(WorkerState &Target, TimePoint Now) const -> void;
  auto openCircuit(WorkerState &Target, TimePoint Now) const -> void;

  HealthPolicy Policy;
  std::map<std::string, WorkerState, std::less<>> Workers;
};

} // namespace jayramp
