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

/// Handles the HTTP calls of operators that read the state of this entry host.
/// They do not block.
class StatusQueries {
public:
  /// The referenced objects must outlive this object. \p IsStopping returns
  /// true once a planned stop has begun.
  StatusQueries(std::string HostName, const ConfigurationQueries &Settings,
                const MembershipRunner &Membership,
                const WorkerDirectory &Workers, const SlotBroker &Slots,
                const RequestRouter &Router, const Metrics &Counters,
                std::function<bool()> IsStopping);

  /// Handles GET /v1/configuration.
  auto configuration() const -> ApiResponse;
  /// Handles GET /v1/accounts.
  auto accounts() const -> ApiResponse;
  /// Handles GET /v1/accounts/{name}. Returns 404 if there is no such account.
  auto account(const std::string &Name) const -> ApiResponse;
  /// Handles GET /v1/status.
  auto status() const -> ApiResponse;
  /// Handles GET /v1/ready. Returns 200 if the load balancer may send requests
  /// to this host, else 503 with the reason.
  auto ready() const -> ApiResponse;
  /// Handles GET /metrics. Returns all metrics in the Prometheus text format.
  auto metrics() const -> ApiResponse;

private:
  /// Returns why this host is not ready, or an empty string if it is ready.
  auto notReadyReason() const -> std::string;

  std::string HostName;
  const ConfigurationQueries &Settings;
  const MembershipRunner &Membership;
  const WorkerDirectory &Workers;
  const SlotBroker &Slots;
  const RequestRouter &Router;
  const Metrics &Counters;
  std::function<bool()> IsStopping;
};

} // namespace jayramp
