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
/// scheduler of the view: starts gangs, renews leases, stops and reclaims gangs
/// and keeps the job rows up to date. Safe to call from any thread.
class GangRunner {
public:
  struct Options {
    std::string HostName;
    Milliseconds SurplusLease{4000};
    Milliseconds GuaranteedLease{10000};
    Milliseconds CheckpointTimeout{1000};
    Milliseconds ThrottleTimeout{500};
    Milliseconds StopTimeout{1000};
    Milliseconds RenewInterval{1000};
    Milliseconds PollInterval{500};
    Milliseconds CallTimeout{500};
    std::size_t WorkerCallThreads = 32;
  };

  /// The references must outlive the runner.
  GangRunner(Options Settings, GangRunnerInputs Inputs, JobStore &Store,
             WorkerClient &Workers, Metrics &Counters);
  /// Ends the threads without stopping gangs; blocks for calls in progress.
  ~GangRunner();
  GangRunner(const GangRunner &) = delete;
  auto operator=(const GangRunner &) -> GangRunner & = delete;

  auto start() -> void;
  /// Same as the destructor; repeats have no effect.
  auto stop() -> void;
  /// Looks for changed rows soon.
  auto pollSoon() -> void;

private:
  class Implementation;

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
