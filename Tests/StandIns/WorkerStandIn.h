#pragma once

#include "FaultyHttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cpprest/json.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jayramp {

/// A worker for tests. It simulates requests, which occupy slots, and tasks,
/// which end at the latest when their lease expires on the clock of the worker.
class WorkerStandIn {
public:
  struct Settings {
    boost::asio::ip::tcp::endpoint Endpoint;
    std::string Name;
    std::uint32_t Slots = 8;
    std::size_t Connections = 64;
    std::uint32_t Accelerators = 8;
    std::uint32_t Seed = 1;
  };

  WorkerStandIn(boost::asio::io_context &Context, Settings Options);

  auto endpoint() const -> boost::asio::ip::tcp::endpoint {
    return Server.endpoint();
  }

private:
  /// One run of a request. Times are Unix milliseconds; End is 0 while it runs.
  struct Execution {
    std::string Account;
    std::string Key;
    std::uint32_t Attempt = 0;
    std::int64_t Start = 0;
    std::int64_t End = 0;
  };

  /// Times are Unix milliseconds of the clock of the worker; 0 means that the
  /// task has not been started or has not ended.
  struct Task {
    std::string Name;
    std::string Job;
    std::vector<std::uint32_t> Accelerators;
    std::string State;
    std::int64_t RunTimeMs = 0; ///< 0: runs until it is stopped.
    std::int64_t LeaseEnd = 0;
    std::int64_t Start = 0;
    std::int64_t End = 0;
    std::string EndReason;
    /// Counts the extensions of the lease; timers of earlier ones are ignored.
    std::uint64_t LeaseGeneration = 0;
  };

  auto handleRequest(const StandInRequest &Request,
                     FaultyHttpServer::Reply Reply) -> void;
  auto runRequest(const StandInRequest &Request, FaultyHttpServer::Reply Reply)
      -> void;
  /// Returns the value of the header Jayramp-Refused, or an empty string if the
  /// request is accepted.
  auto refusalReason(const StandInRequest &Request) -> std::string;
  /// Raises Epoch to \p CallerEpoch if that is higher. Returns false if it is
  /// lower and epochs are checked, which means that the caller is fenced.
  auto acceptEpoch(std::uint64_t CallerEpoch) -> bool;
  auto handleStatus(const StandInRequest &Request) -> StandInAnswer;
  auto handleTaskCommands(const std::string &Verb, const std::string &Body)
      -> StandInAnswer;
  /// Applies \p Verb to the task that \p Command names and returns the new
  /// state of the task. Throws std::runtime_error if the verb is unknown.
  auto applyTaskVerb(const std::string &Verb, const web::json::value &Command)
      -> std::string;
  /// Reserves the accelerators of a new task. Returns "failed" if one of them
  /// is in use or does not exist, or if the worker is leaving.
  auto prepareTask(const web::json::value &Command) -> std::string;
  auto startTask(Task &Target, const web::json::value &Command) -> void;
  auto extendLease(Task &Target, const web::json::value &Command) -> void;
  /// Returns the run time of the task in milliseconds.
  auto requestedRunTime(const web::json::value &Command) const -> std::int64_t;
  auto endTask(Task &Target, const std::string &State,
               const std::string &Reason) -> void;
  /// Returns the newest task \p Name if it has not ended, or else null.
  auto findActiveTask(const std::string &Name) -> Task *;
  /// Returns the newest task \p Name, which may have ended, or null.
  auto findNewestTask(const std::string &Name) -> Task *;
  /// Runs \p Action after \p DelayMs; at once if the delay is not positive.
  auto runAfter(std::int64_t DelayMs, std::function<void()> Action) -> void;
  auto handleControl(const StandInRequest &Request) -> StandInAnswer;
  /// Sets one field of a control request; returns false if it is unknown.
  auto setField(const std::string &Name, const web::json::value &Value) -> bool;
  /// Clears the counters and the ended executions; tasks stay in the record.
  auto resetRecord() -> void;
  auto recordJson() const -> web::json::value;

  boost::asio::io_context &Context;
  Settings Options;
  std::uint64_t Epoch = 0;
  std::uint32_t SlotsUsed = 0;
  std::uint32_t PeakSlotsUsed = 0;
  std::map<std::uint64_t, Execution> Executions;
  std::uint64_t NextExecutionId = 0;
  std::map<std::uint64_t, Task> Tasks;
  std::uint64_t NextTaskId = 0;
  std::set<std::uint32_t> AcceleratorsUsed;
  std::map<std::string, std::uint64_t> RefusalCounts;
  bool FailEverything = false;
  bool Leaving = false;
  bool IgnoreCheckpoint = false;
  bool Guards = true; ///< Whether requests with an old epoch are refused.
  std::int64_t DefaultTaskRunTimeMs = 0;
  FaultyHttpServer Server;
};

} // namespace jayramp
