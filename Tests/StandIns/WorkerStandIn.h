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

/// One worker: runs requests in slots, and tasks under leases on its own clock.
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
  struct Execution {
    std::string Account;
    std::string Key;
    std::uint32_t Attempt = 0;
    std::int64_t Start = 0;
    std::int64_t End = 0;
  };

  struct Task {
    std::string Name;
    std::string Job;
    std::vector<std::uint32_t> Accelerators;
    std::string State;
    std::int64_t RunTime = 0;  ///< 0: until stopped.
    std::int64_t LeaseEnd = 0; ///< On the worker's clock, as all times here.
    std::int64_t Start = 0;
    std::int64_t End = 0;
    std::string EndReason;
    std::uint64_t Generation = 0; ///< Outdates timers of an earlier lease.
  };

  auto serve(const StandInRequest &Request, FaultyHttpServer::Reply Reply)
      -> void;
  auto runRequest(const StandInRequest &Request, FaultyHttpServer::Reply Reply)
      -> void;
  auto refusal(const StandInRequest &Request) -> std::string;
  auto raiseEpoch(std::uint64_t Seen) -> bool;
  auto status(const StandInRequest &Request) -> StandInAnswer;
  auto controlTasks(const std::string &Verb, const std::string &Body)
      -> StandInAnswer;
  auto applyVerb(const std::string &Verb, const web::json::value &Order)
      -> std::string;
  auto prepareTask(const web::json::value &Order) -> std::string;
  auto startTask(Task &Target, const web::json::value &Order) -> void;
  auto extendLease(Task &Target, const web::json::value &Order) -> void;
  auto runTimeOf(const web::json::value &Order) const -> std::int64_t;
  auto endTask(Task &Target, const std::string &State,
               const std::string &Reason) -> void;
  auto liveTask(const std::string &Name) -> Task *;
  auto newestTask(const std::string &Name) -> Task *;
  auto after(std::int64_t Delay, std::function<void()> Action) -> void;
  auto control(const StandInRequest &Request) -> StandInAnswer;
  auto setField(const std::string &Name, const web::json::value &Value) -> bool;
  auto resetRecord() -> void;
  auto record() const -> web::json::value;

  boost::asio::io_context &Context;
  Settings Options;
  std::uint64_t Epoch = 0;
  std::uint32_t SlotsUsed = 0;
  std::uint32_t MostSlotsUsed = 0;
  std::map<std::uint64_t, Execution> Executions;
  std::uint64_t NextExecution = 0;
  std::map<std::uint64_t, Task> Tasks;
  std::uint64_t NextTask = 0;
  std::set<std::uint32_t> AcceleratorsUsed;
  std::map<std::string, std::uint64_t> Refused;
  bool FailEverything = false;
  bool Leaving = false;
  bool IgnoreCheckpoint = false;
  bool Guards = true;
  std::int64_t TaskRunTime = 0;
  FaultyHttpServer Server;
};

} // namespace jayramp
