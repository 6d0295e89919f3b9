#pragma once

#include "AcceptedJobs.h"
#include "EntryHost.h"
#include "FaultPlan.h"
#include "IdleRoomCheck.h"
#include "standins/Cluster.h"
#include "standins/Record.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jayramp::platform_test {

/// Six entry hosts, the store and 48 workers in 8 racks, of which each zone has
/// two. One thread plays the
/// faults and looks for idle room. Never destroyed, because the threads of the
/// stand-ins use it until the process ends; close() ends the hosts.
class OutageStage {
public:
  static constexpr unsigned RackCount = 8;
  static constexpr unsigned WorkersPerRack = 6;

  /// Starts all processes with files in \p Folder and waits until the hosts are
  /// ready. Errors: those of EntryHost::start(); Timeout if a host does not
  /// become ready.
  static auto start(const std::string &Folder) -> Result<OutageStage *>;
  static auto zoneOfRack(unsigned Rack) -> const std::string &;
  static auto rackName(unsigned Rack) -> std::string {
    return "r" + std::to_string(Rack);
  }

  /// Sets the faults, whose times count from now.
  auto beginFaults(FaultPlan Plan) -> void;
  /// Plays the faults and looks for idle room for \p DurationMs.
  auto run(std::int64_t DurationMs) -> void;
  /// The same until the store is up, all hosts run and all workers are reached.
  auto runUntilCalm() -> void;
  /// Closes a zone while the owner is stopped, and kills the owner before it
  /// can act on that; the host starts again as after a fault. Returns when the
  /// store had the request.
  auto closeZoneAndKillOwner(const std::string &Zone) -> std::int64_t;
  /// Takes the request back, and looks for runs that began in the zone too late
  /// after it. Returns when the store had the withdrawal.
  auto openZone() -> std::int64_t;
  /// Returns the runs that began on workers of \p Zone from \p FromMs to
  /// \p UntilMs.
  auto startsInZone(const std::string &Zone, std::int64_t FromMs,
                    std::int64_t UntilMs) -> std::vector<std::string>;
  auto elapsedMs() const -> std::int64_t { return Output.elapsedMs(); }
  /// Runs until all accepted jobs are shown as completed, or for \p LimitMs.
  /// Returns the jobs that are not.
  auto runUntilCompleted(std::int64_t LimitMs) -> std::vector<std::string>;
  auto close() -> void { Hosts.clear(); }
  /// Returns the lines of all hosts' logs that contain \p Text.
  auto logLines(const std::string &Text) const -> std::vector<std::string>;

  auto platform() -> review::Cluster & { return Platform; }
  auto jobs() -> AcceptedJobs & { return Jobs; }
  auto callers() const -> const std::vector<std::string> & { return Callers; }
  /// Idle room, contradicting answers, broken rules of runs and hosts that
  /// ended by themselves, each with the lines of the logs that belong to it.
  auto findings() -> std::vector<std::string>;
  auto summary() -> std::string;

private:
  /// The end of a signal to a host.
  struct Recovery {
    std::size_t Host = 0;
    std::int64_t AtMs = 0;
  };
  struct ClosedZone {
    std::string Name;
    std::int64_t SinceMs = 0; ///< When the store had the request.
  };

  explicit OutageStage(const std::string &Folder);

  auto startHosts(const std::string &Folder) -> Result<void>;
  auto waitUntilReady() -> Result<void>;
  auto playStoreOutage(std::int64_t SinceMs) -> void;
  auto playHostFaults(std::int64_t SinceMs) -> void;
  auto playRecoveries(std::int64_t SinceMs) -> void;
  auto playClosures(std::int64_t SinceMs) -> void;
  auto closeZone(const std::string &Zone) -> std::int64_t;
  auto lookForIdleRoom() -> void;
  /// Idle room is looked for only on workers outside \p ClosedZone.
  auto lookAtWorkersOutside(const std::string &ClosedZone) -> void;
  auto findDeadHosts() -> void;
  auto isCalm() -> bool;
  /// Returns the host that took the shard last.
  auto owner() const -> std::size_t;
  auto tick() -> void;
  auto addFinding(const std::string &Text) -> void;

  review::Record Output;
  review::Cluster Platform;
  AcceptedJobs Jobs;
  std::vector<EntryHost> Hosts;
  std::vector<std::string> Callers;
  std::unique_ptr<IdleRoomCheck> Check;
  FaultPlan Plan;
  std::size_t NextHostFault = 0;
  std::vector<Recovery> Recoveries;
  std::size_t NextClosure = 0;
  std::optional<ClosedZone> Closed;
  std::int64_t FaultsBeginMs = 0;
  std::int64_t LastFaultMs = 0;
  std::int64_t CheckedMs = 0; ///< For how long idle room was looked for.
  bool IsStoreDown = false;
  std::vector<std::string> Findings;
};

} // namespace jayramp::platform_test
