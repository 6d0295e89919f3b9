#pragma once

#include "Http.h"
#include "HttpServer.h"
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
/// of its "gang=N" members run, and ends `broken` if the process of one of them
/// is gone then.
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
  /// the store. If \p Delays, the calls that arrive meanwhile are carried
  /// out when the cut ends, but never answered.
  auto setCutOff(bool CutOff, bool Delays = false) -> void;
  /// Returns false while the worker is down or cut off.
  auto isReachable() -> bool;
  /// What differs between a process and the next one under the same id.
  struct NextProcess {
    std::int64_t EntryDelayMs = 0; ///< From its start to its first entry.
    std::int64_t ClockMs = 1000;   ///< What its clock shows at its start.
  };
  enum class Crash {
    Process, ///< Connections are reset, and further ones refused.
    Machine, ///< Nothing is reset or refused until a process runs again.
  };
  /// Ends the process: its runs and all that it knows are gone. Its entry stays
  /// in the store.
  auto crash(Crash Kind) -> void;
  /// Starts a new process under the same id and address after a crash.
  auto startAgain(const NextProcess &Next) -> void;
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
    std::size_t HistoryPosition = 0;
    bool IsLeaseLapsed = false; ///< Since the end.
  };
  /// What a process knows; the next one begins with none of it.
  struct Memory {
    std::map<std::string, Run> RunByTask;
    std::map<std::string, std::uint32_t> LastEndedRun;
    std::vector<End> Ends;
    std::uint64_t EndCount = 0;
    std::uint64_t HighestToken = 0;
    std::int64_t LeaseEndMs = 0; ///< On the worker's clock.
    std::uint64_t Sequence = 0;
  };

  /// Accepts connections for the present process.
  auto listen() -> void;
  /// Carries out a request that process \p Process has received.
  auto handle(const HttpRequest &Request, std::uint64_t Process)
      -> std::optional<HttpResponse>;
  auto carryOut(const HttpRequest &Request, std::unique_lock<std::mutex> &Lock)
      -> HttpResponse;
  auto startRun(const nlohmann::json &Order) -> HttpResponse;
  auto stopRun(const nlohmann::json &Order) -> HttpResponse;
  auto hold(const nlohmann::json &Order, std::unique_lock<std::mutex> &Lock)
      -> HttpResponse;
  /// Returns the rows of a list of runs.
  auto runningRows() const -> nlohmann::json;
  auto isFenced(const nlohmann::json &Order) -> bool;
  auto extendLease(const nlohmann::json &Order) -> void;
  auto endRun(const std::string &Task, const std::string &How) -> void;
  /// Ends the runs whose work is done or whose lease has expired.
  auto endDueRuns() -> void;
  /// Records for the ends that are listed if the worker's lease has lapsed.
  auto recordLapse() -> void;
  auto clockMs() const -> std::int64_t;
  auto reply(const std::string &Reason) const -> HttpResponse;
  auto writeEntryIfDue() -> void;
  auto writeEntry() -> void;

  Settings Options;
  StoreStandIn &Store;
  RunHistory &History;
  HttpServer Server;
  std::mutex Mutex; ///< Guards all members below.
  std::condition_variable Ended;
  std::condition_variable CutEnded; ///< Or the process did.
  std::uint64_t ProcessNumber = 1;
  bool IsUp = true;
  Clock::time_point Born = Clock::now();
  std::int64_t BornUnixMs = 0;
  std::int64_t FirstClockMs = 1000; ///< What the clock showed at the start.
  Clock::time_point NextEntry = Clock::now();
  Memory Known;
  bool IsCutOff = false;
  bool DelaysCalls = false;                  ///< While it is cut off.
  std::optional<Clock::time_point> LeavesAt; ///< Set while it drains.
};

} // namespace review
