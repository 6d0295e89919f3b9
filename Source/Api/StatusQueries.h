#pragma once

#include "Api/ApiResponse.h"

#include <cstddef>
#include <functional>
#include <string>

namespace jayramp {

class ConfigurationQueries;
class MembershipRunner;
class Metrics;
class RequestRouter;
class SlotBroker;
class WorkerDirectory;

/// Queries of operators on this entry host. Never block.
class StatusQueries {
public:
  /// The references must outlive this object. \p Stopping tells whether a
  /// planned stop has begun.
  StatusQueries(std::string HostName, const ConfigurationQueries &Settings,
                const MembershipRunner &Membership,
                const WorkerDirectory &Workers, const SlotBroker &Slots,
                const RequestRouter &Router, const Metrics &Counters,
                std::function<bool()> Stopping);

  /// GET /v1/configuration
  auto configuration() const -> ApiResponse;
  /// GET /v1/accounts and GET /v1/accounts/{name}
  auto accounts() const -> ApiResponse;
  auto account(const std::string &Name) const -> ApiResponse;
  /// GET /v1/status
  auto status() const -> ApiResponse;
  /// GET /v1/ready: 200 if the load balancer may send requests here, else 503.
  auto ready() const -> ApiResponse;
  /// GET /metrics
  auto metrics() const -> ApiResponse;

private:
  auto notReadyReason() const -> std::string;

  std::string HostName;
  const ConfigurationQueries &Settings;
  const MembershipRunner &Membership;
  const WorkerDirectory &Workers;
  const SlotBroker &Slots;
  const RequestRouter &Router;
  const Metrics &Counters;
  std::function<bool()> Stopping;
};

} // namespace jayramp
