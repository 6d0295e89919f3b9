#pragma once

#include "Http.h"
#include "Record.h"
#include "Store.h"

#include <condition_variable>
#include <vector>

namespace jayramp::review {

/// One start of a work unit, as the worker saw it.
struct StartSeen {
  std::string Task;
  std::uint32_t Run = 0;
  std::string Worker;
  std::string Service;
  std::string Kind; ///< Of the boot that was started on.
  std::int64_t AtMs = 0;
  std::int64_t EndedMs = -1; ///< -1 while it runs.
  std::string How;
};

/// All starts on all workers.
class Starts {
public:
  auto begin(StartSeen Seen) -> std::size_t;
  auto end(std::size_t Position, std::int64_t AtMs, const std::string &How)
      -> void;
  auto all() -> std::vector<StartSeen>;

private:
  std::mutex Guard;
  std::vector<StartSeen> Seen;
};

/// What a boot of a worker reports of itself.
struct WorkerKind {
  std::string Service;
  std::string Kind = "a";
  std::string Rack = "r1";
  std::int64_t CpuMillis = 32000;
  std::int64_t MemoryMb = 65536;
  std::int64_t Gpus = 8;
};

/// A worker: runs work units under leases and reports to the store. The text
/// after "ms=" in a spec tells how long a work unit takes; with "save" in it,
/// a new checkpoint comes with each second of work.
class Worker {
public:
  Worker(Store &Registry, Record &Log, Starts &Seen, std::string Id,
         std::string Ip);
  ~Worker();
  Worker(const Worker &) = delete;
  auto operator=(const Worker &) -> Worker & = delete;

  /// Starts a boot: listens and registers.
  auto start(const WorkerKind &Kind) -> void;
  /// Ends the boot at once; nothing is said to anyone.
  auto crash() -> void;
  auto id() const -> const std::string & { return Id; }

private:
  struct Live {
    std::uint32_t Run = 0;
    std::string Spec;
    std::string Checkpoint;
    std::int64_t BeganMs = 0;
    std::int64_t LengthMs = 0;
    std::int64_t SavedMs = 0; ///< Work that earlier runs had saved.
    bool Saves = false;
    std::size_t Position = 0; ///< In the list of starts.
  };
  struct End {
    std::uint64_t Number = 0;
    std::string Task;
    std::uint32_t Run = 0;
    std::string How;
    std::string Checkpoint;
  };

  auto handle(const Request &Message) -> std::optional<Response>;
  auto runStart(const nlohmann::json &Order) -> Response;
  auto runStop(const nlohmann::json &Order) -> Response;
  auto hold(const nlohmann::json &Order) -> Response;
  /// Ends what is over by now. Needs the lock, like all below.
  auto advance() -> void;
  auto endRun(const std::string &Task, const std::string &How) -> void;
  auto saveProgress(const std::string &Task, Live &Unit) -> void;
  auto clockMs() const -> std::int64_t;
  auto report() -> void;
  auto work() -> void;

  Store &Registry;
  Record &Log;
  Starts &Seen;
  std::string Id;
  std::string Ip;
  int Port = 0;
  std::mutex Guard;
  std::condition_variable Ended;
  WorkerKind Now;
  bool Up = false;
  std::int64_t Born = 0;
  std::chrono::steady_clock::time_point BootedAt;
  std::int64_t Deadline = 0;
  std::uint64_t Fence = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t NextEnd = 1;
  std::map<std::string, Live> Running;
  std::map<std::string, std::uint32_t> Highest; ///< Ended or stopped runs.
  std::vector<End> Ends;
  std::unique_ptr<HttpServer> Server;
  std::thread Timer;
};

} // namespace jayramp::review
