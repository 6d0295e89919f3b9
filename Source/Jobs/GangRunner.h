#pragma once

#include "Base/Clock.h"

#include <memory>
#include <string>

namespace jayramp {

struct GangRunnerInputs;
class JobStore;
class Metrics;
class WorkerClient;

/// Carries out the decisions of the job scheduler while this host is the
/// scheduler of the view: starts gangs, renews their leases, stops and reclaims
/// gangs, and keeps the job rows up to date. Thread-safe.
class GangRunner {
public:
  struct Options {
    std::string HostName;
    /// Duration of the leases of gangs that can be reclaimed.
    Milliseconds SurplusLeaseDuration{4000};
    /// Duration of the leases of all other gangs.
    Milliseconds GuaranteedLeaseDuration{10000};
    /// Longest duration of each step of stopping a gang.
    Milliseconds CheckpointTimeout{1000};
    Milliseconds ThrottleTimeout{500};
    Milliseconds StopTimeout{1000};

    Milliseconds RenewInterval{1000}; ///< Between renewals of the leases.
    Milliseconds PollInterval{500};   ///< Between reads of changed job rows.
    Milliseconds CallTimeout{500};    ///< Of a call to a worker.
    std::size_t WorkerCallThreads = 32;
  };

  /// The references must outlive the runner.
  GangRunner(Options Settings, GangRunnerInputs Inputs, JobStore &Store,
             WorkerClient &Workers, Metrics &Counters);
  /// Joins the threads after the calls in progress; gangs are not stopped.
  ~GangRunner();
  GangRunner(const GangRunner &) = delete;
  auto operator=(const GangRunner &) -> GangRunner & = delete;

  auto start() -> void;
  /// Does the same as the destructor; further calls have no effect.
  auto stop() -> void;
  /// Requests that changed job rows are read without waiting for PollInterval.
  auto pollSoon() -> void;

private:
  class Implementation;

  std::unique_ptr<Implementation> Impl;
};

} // namespace jayramp
