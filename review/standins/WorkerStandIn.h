#pragma once

#include "Http.h"
#include "RunHistory.h"
#include "StoreStandIn.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// Stand-in of a worker that guards its free capacity: it runs tasks under a
/// lease on its own clock, lists running and ended runs, and writes its entry
/// in the store every 1.5 s. A task works for the number of ms that its spec
/// names as "work-ms=N" and takes "gpu=N" accelerators; a gang works while all
/// of its "gang=N" members run.
class WorkerStandIn {
public:
  struct Settings {
    std::string Id;
    std::string Service;
    std::string Rack;
    /// Speed of the worker's clock; 0.98 is the slowest that is allowed.
    double ClockRate = 1.0;
    std::string Zone = "zone-a";
  };

  WorkerStandIn(Settings Options, StoreStandIn &Store, RunHistory &History);

  auto id() const -> const std::string & { return Options.Id; }
  auto rack() const -> const std::string & { return Options.Rack; }
  auto zone() const -> const std::string & { return Options.Zone; }
  /// Cuts the worker off from the system's hosts, or ends that. A worker that
  /// is cut off answers no call and carries none out, but works on and reaches
  /// the store.
  auto setCutOff(bool CutOff) -> void;
  /// Reports that the worker leaves in \p RemainingMs. It goes on working.
  auto startDraining(std::int64_t RemainingMs) -> void;
  /// Returns the tasks that the worker runs.
  auto runningTasks() -> std::vector<std::string>;

private:
  using Clock = std::chrono::steady_clock;

  struct Run {
    std::uint32_t Number = 0;
    std::size_t HistoryPosition = 0;
    std::int64_t WorkMs = 0;
    std::int64_t GangSize = 1;
    std::int64_t Gpus = 0;
    Clock::time_point StartedAt;
    /// When all members of the gang were present; for other tasks the start.
    std::optional<Clock::time_point> WorkStartedAt;
    /// When the run ends because it was told to stop.
    std::optional<Clock::time_point> StopsAt;
  };
  struct End {
    std::uint64_t Number = 0;
    std::string Task;
    std::uint32_t Run = 0;
    std::string How;
  };

  auto handle(const HttpRequest &Request) -> std::optional<HttpResponse>;
  auto startRun(const nlohmann::json &Order) -> HttpResponse;
  auto stopRun(const nlohmann::json &Order) -> HttpResponse;
  auto hold(const nlohmann::json &Order) -> HttpResponse;
  auto isFenced(const nlohmann::json &Order) -> bool;
  auto extendLease(const nlohmann::json &Order) -> void;
  auto endRun(const std::string &Task, const std::string &How) -> void;
  /// Ends the runs whose work is done or whose lease has expired.
  auto update() -> void;
  auto clockMs() const -> std::int64_t;
  auto reply(const std::string &Reason) const -> HttpResponse;
  auto writeEntry() -> void;

  Settings Options;
  StoreStandIn &Store;
  RunHistory &History;
  Clock::time_point Born = Clock::now();
  std::int64_t BornUnixMs = 0;
  std::string Address;
  std::mutex Mutex; ///< Guards all members below.
  std::condition_variable Ended;
  std::map<std::string, Run> RunByTask;
  std::map<std::string, std::uint32_t> LastEndedRun;
  std::vector<End> Ends;
  std::uint64_t EndCount = 0;
  std::uint64_t HighestToken = 0;
  std::int64_t LeaseEndMs = 0; ///< On the worker's clock.
  std::uint64_t Sequence = 0;
  bool IsCutOff = false;
  std::optional<Clock::time_point> LeavesAt; ///< Set while it drains.
};

} // namespace review
