#pragma once

#include "Base/Result.h"
#include "Requests/HealthPolicy.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayramp {

/// Circuit breaker and latency ejection of the workers that this host uses.
///
/// Not synchronized: the caller holds one mutex during every call, queries
/// included.
class WorkerHealth {
public:
  enum class CircuitState {
    Closed,     ///< Normal traffic.
    Open,       ///< No traffic.
    HalfOpen,   ///< One request at a time decides.
    Recovering, ///< A growing share of normal traffic.
  };

  static auto make(HealthPolicy Policy) -> Result<WorkerHealth>;

  /// An attempt starts at the worker. Takes the trial if one is due.
  auto recordStart(std::string_view Worker, TimePoint Now) -> void;

  /// The worker answered, with success or with a failure of its own request.
  /// \p Latency only for work whose latency tells of the worker.
  auto recordSuccess(std::string_view Worker,
                     std::optional<Milliseconds> Latency, TimePoint Now)
      -> void;

  /// The worker did not answer, cut its answer or reported an internal fault.
  auto recordFailure(std::string_view Worker, TimePoint Now) -> void;

  /// The attempt ended without a verdict (refused busy, cancelled).
  auto recordNoResult(std::string_view Worker) -> void;

  /// Ejects latency outliers; called about once a second. Returns the workers
  /// that were ejected now.
  auto ejectOutliers(TimePoint Now) -> std::vector<std::string>;

  auto removeWorker(std::string_view Worker) -> void;

  /// Share of normal traffic, 0 to 1. A due trial has a small share above 0
  /// until recordStart() takes it.
  auto trafficShare(std::string_view Worker, TimePoint Now) const -> double;
  auto circuitState(std::string_view Worker, TimePoint Now) const
      -> CircuitState;

private:
  struct Entry {
    CircuitState State = CircuitState::Closed;
    std::uint32_t Consecutive = 0;
    double Successes = 0.0;
    double Failures = 0.0;
    TimePoint CountedAt;
    double LatencyMs = 0.0;
    double LatencySamples = 0.0;
    TimePoint OpenUntil;
    Milliseconds OpenFor{0};
    bool TrialInFlight = false;
    TimePoint TrialStarted;
    double Share = 1.0;
    bool EjectedForLatency = false;
  };

  explicit WorkerHealth(HealthPolicy Policy);

  auto entryOf(std::string_view Worker) -> Entry &;
  auto decay(Entry &Target, TimePoint Now) const -> void;
  auto open(Entry &Target, TimePoint Now) const -> void;

  HealthPolicy Policy;
  std::map<std::string, Entry, std::less<>> Workers;
};

} // namespace jayramp
