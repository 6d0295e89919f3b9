#pragma once

#include "Record.h"
#include "RunHistory.h"
#include "StoreStandIn.h"
#include "WorkerStandIn.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// The platform, the workers and a client of one entry host.
class Cluster {
public:
  explicit Cluster(Record &Output) : Output(Output), History(Output) {}

  /// Adds \p Count workers in one rack.
  auto addWorkers(const std::string &Rack, unsigned Count, double ClockRate,
                  const std::string &Zone = "zone-a") -> void;
  /// Publishes a configuration with one queue of priority 1 and one of
  /// priority 0, both with two attempts.
  auto publishConfiguration() -> void;
  /// Writes the settings file of the entry host, whole or not at all.
  auto writeSettings(const std::string &Path) -> void;
  /// Waits until the entry host reports that it is ready and then for
  /// \p SettleMs more. Returns false if it does not within 20 s.
  auto waitUntilReady(std::int64_t SettleMs) -> bool;
  /// Waits until \p PhaseMs after the next heartbeats of the workers, which all
  /// write their entries at about the same time.
  auto waitPastHeartbeat(std::int64_t PhaseMs) -> void;
  /// Sends a job and returns the status; 0 without a response.
  auto submit(const std::string &Job, const std::string &Body,
              bool Urgent = false) -> unsigned;
  /// Cancels a job of the queue of priority 1.
  auto cancel(const std::string &Job) -> void;
  /// Returns the state of a job as the entry host shows it; empty without one.
  auto stateOf(const std::string &Job) -> std::string;

  auto store() -> StoreStandIn & { return Store; }
  auto history() -> RunHistory & { return History; }
  auto workers() -> std::vector<std::unique_ptr<WorkerStandIn>> & {
    return Workers;
  }
  auto record() -> Record & { return Output; }

private:
  auto call(const std::string &Method, const std::string &Path,
            const std::string &Body) -> std::optional<HttpResponse>;

  Record &Output;
  RunHistory History;
  StoreStandIn Store;
  std::vector<std::unique_ptr<WorkerStandIn>> Workers;
  std::int64_t FirstHeartbeatMs = 0;
  std::string CallerAddress;
  std::string ReadinessAddress;
};

auto sleepMs(std::int64_t DurationMs) -> void;

} // namespace review
