#pragma once

#include "FaultPlan.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace jayramp::platform_test {

struct WorkerGroup {
  std::string Name;                 ///< For messages.
  std::vector<std::size_t> Workers; ///< Numbers of the workers, from 0.

  auto operator==(const WorkerGroup &) const -> bool = default;
  auto describe() const -> std::string;
};

/// Workers that are cut off from all hosts, and run on.
struct WorkerCut {
  WorkerGroup Group;
  std::int64_t AtMs = 0; ///< Since the begin of the traffic.
  std::int64_t CutMs = 0;
  /// Whether calls that arrive in the cut are carried out after it.
  bool DelaysCalls = false;

  auto endMs() const -> std::int64_t { return AtMs + CutMs; }
  auto operator==(const WorkerCut &) const -> bool = default;
  auto describe() const -> std::string;
};

/// Workers whose processes crash, start again under their ids, and are cut off
/// from all hosts soon after.
struct WorkerRestart {
  WorkerGroup Group;
  std::int64_t AtMs = 0; ///< Since the begin of the traffic.
  std::int64_t DownMs = 0;
  /// Whether the whole machines crash, so that connections are not reset.
  bool IsOfMachines = false;
  std::int64_t MaxEntryDelayMs = 0; ///< From the start to the first entry.
  std::int64_t CutDelayMs = 0;      ///< From the start to the cut.
  std::int64_t CutMs = 0;
  /// Whether calls that arrive in the cut are carried out after it.
  bool DelaysCalls = false;

  auto returnMs() const -> std::int64_t { return AtMs + DownMs; }
  auto cutAtMs() const -> std::int64_t { return returnMs() + CutDelayMs; }
  auto endMs() const -> std::int64_t { return cutAtMs() + CutMs; }
  auto operator==(const WorkerRestart &) const -> bool = default;
  auto describe() const -> std::string;
};

/// Restarts and cuts of workers in series, at times overlapping, with signals
/// to hosts around them.
struct RestartPlan {
  static constexpr std::int64_t RoundMs = 12000;
  static constexpr std::int64_t CutRoundMs = 9000;

  std::vector<WorkerCut> Cuts;         ///< In the order of their begin.
  std::vector<WorkerRestart> Restarts; ///< In the order of the returns.
  std::vector<HostFault> HostFaults;   ///< In the order of their begin.

  /// Returns the faults of a run with \p TrafficMs of traffic, each round of
  /// which has two or three restarts and up to two signals.
  static auto random(std::mt19937_64 &Random, std::int64_t TrafficMs)
      -> RestartPlan;
  /// The same with one or two cuts, at most one restart and up to two signals
  /// in each round, which is shorter.
  static auto randomCuts(std::mt19937_64 &Random, std::int64_t TrafficMs)
      -> RestartPlan;
  /// Returns when the last fault ends.
  auto endMs() const -> std::int64_t;
  /// Returns a line for each fault.
  auto describe() const -> std::string;

private:
  auto sort() -> void;
};

} // namespace jayramp::platform_test
