#pragma once

#include "LoopbackProcess.h"
#include "Shard/WorkerTransport.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace jayramp::test {

/// One process of a worker behind a loopback port. Orders that are made here
/// for a process carry its start time, so that each process recognizes the
/// orders for another one.
class LoopbackWorker {
public:
  using Json = nlohmann::json;

  /// How a kind of request is answered.
  struct Behaviour {
    bool Answers = true;
    unsigned Status = 200;
    std::string Reason; ///< Of a refusal.
    Milliseconds Delay{0};
    bool ClosesConnection = false;
  };

  LoopbackWorker(net::EventLoop &Loop, const LoopbackPort &Port,
                 std::int64_t Incarnation)
      : Incarnation(Incarnation),
        Process(Loop, Port, [this](const auto &Path, const auto &Body) {
          return answer(Path, Body);
        }) {}

  static auto startFor(std::int64_t Incarnation, std::uint32_t Index = 0)
      -> shard::StartOrder {
    shard::StartOrder Order;
    Order.Run = {"00000000000000aa", 0, Index, 1};
    Order.Payload = std::to_string(Incarnation);
    Order.LeaseExpiresAtMs = leaseFor(Incarnation);
    Order.FencingToken = 1;
    return Order;
  }
  static auto renewalFor(std::int64_t Incarnation) -> shard::RenewOrder {
    shard::RenewOrder Order;
    Order.FencingToken = 1;
    Order.LastSeenEnd = lastSeenFor(Incarnation);
    Order.LeaseExpiresAtMs = leaseFor(Incarnation);
    return Order;
  }
  static auto leaseFor(std::int64_t Incarnation) -> std::int64_t {
    return Incarnation * 2 + 1;
  }
  static auto lastSeenFor(std::int64_t Incarnation) -> std::uint64_t {
    return static_cast<std::uint64_t>(Incarnation) * 3 + 1;
  }

  auto behave(const std::string &Path, Behaviour Given) -> void {
    Behaviours[Path] = std::move(Given);
  }
  auto closeConnections() -> void { Process.closeConnections(); }
  auto stopListening() -> void { Process.stopListening(); }
  auto acceptedConnections() const -> unsigned {
    return Process.acceptedConnections();
  }
  auto incarnation() const -> std::int64_t { return Incarnation; }

  /// Returns the bodies of the requests to \p Path, in order of arrival.
  auto received(const std::string &Path) const -> std::vector<Json> {
    const auto Found = Requests.find(Path);
    return Found == Requests.end() ? std::vector<Json>() : Found->second;
  }
  /// Returns the starts, leases and acknowledgements that were received and are
  /// not for this process.
  auto misdirected() const -> const std::vector<std::string> & {
    return Misdirected;
  }

private:
  auto answer(const std::string &Path, const std::string &Body)
      -> LoopbackProcess::Answer {
    const auto Order = Json::parse(Body);
    Requests[Path].push_back(Order);
    if (!isForThisProcess(Path, Order))
      Misdirected.push_back(Path + " " + Body);
    const auto &Given = Behaviours[Path];
    constexpr Milliseconds Never{60000};
    Json Reply{{"clock-ms", 1}};
    if (!Given.Reason.empty())
      Reply["reason"] = Given.Reason;
    if (Path == "/hold" && Given.Status == 200) {
      Reply["born"] = Incarnation;
      Reply["running"] = Json::array();
      Reply["ended"] = Json::array();
    }
    return {{Given.Status, {}, Reply.dump()},
            Given.Answers ? Given.Delay : Never,
            Given.ClosesConnection};
  }
  auto isForThisProcess(const std::string &Path, const Json &Order) const
      -> bool {
    if (Path == "/run-start")
      return Order.at("spec") == std::to_string(Incarnation) &&
             Order.at("deadline-ms") == leaseFor(Incarnation);
    if (Path != "/hold")
      return true;
    return (!Order.contains("deadline-ms") ||
            Order.at("deadline-ms") == leaseFor(Incarnation)) &&
           (Order.at("last-seen") == 0 ||
            Order.at("last-seen") == lastSeenFor(Incarnation));
  }

  std::int64_t Incarnation;
  std::map<std::string, Behaviour> Behaviours;
  std::map<std::string, std::vector<Json>> Requests;
  std::vector<std::string> Misdirected;
  LoopbackProcess Process;
};

} // namespace jayramp::test
