#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jayramp {

class TestCluster;

/// Generates a closed-loop load: each caller sends one short request at a time,
/// with a unique key, to the entry hosts in turn. Hosts that are not in use are
/// skipped.
class RequestLoad {
public:
  struct Options {
    std::size_t Callers = 8;
    /// Time between the end of a request and the next request of the caller.
    Milliseconds Pause{5};
    Milliseconds Deadline{10000};
    std::string Payload = R"({"run_ms":2,"answer_bytes":20})";
    std::string KeyPrefix = "load";
    bool Idempotent = false;
  };
  struct SentRequest {
    std::string Key;
    std::size_t Host = 0;
    TimePoint Begin;
    TimePoint End;
    /// Outcome such as "ANSWERED", with its reason if it has one, such as
    /// "NOT_RUN STALE_VIEW". "CUT" and the failure if no complete response
    /// arrived, "STATUS" and the HTTP status if the response had no outcome.
    std::string Result;

    /// Time from sending the request to its result.
    auto latency() const -> Milliseconds {
      return std::chrono::duration_cast<Milliseconds>(End - Begin);
    }
  };

  /// Starts the callers. \p Cluster must outlive this object.
  RequestLoad(const TestCluster &Cluster, const Options &LoadOptions);
  ~RequestLoad();

  /// Sets whether requests are sent to \p Host. All hosts are in use at first.
  auto setHostInUse(std::size_t Host, bool InUse) -> void;
  /// Polls GET /v1/ready of all hosts every 20 ms from now on and sends
  /// requests to a host only while it answers 200.
  auto followReadiness() -> void;

  /// Waits until the requests in progress have ended, stops the callers and
  /// returns all requests.
  auto stop() -> std::vector<SentRequest>;

  /// Sends one request to \p Address ("IP:port") and returns its result, as in
  /// SentRequest::Result.
  static auto send(const std::string &Address, const std::string &Key,
                   const Options &LoadOptions) -> std::string;

private:
  class State;
  std::unique_ptr<State> Impl;
};

/// Returns the number of requests by SentRequest::Result.
auto countResults(const std::vector<RequestLoad::SentRequest> &Requests)
    -> std::map<std::string, std::size_t>;

/// Returns the latency that the fraction \p Share of the requests, for example
/// 0.99, did not exceed; 0 without requests.
auto percentile(const std::vector<RequestLoad::SentRequest> &Requests,
                double Share) -> Milliseconds;

/// Returns the keys that were executed more than once, summed over the first
/// \p Workers workers of \p Cluster.
auto keysExecutedMoreThanOnce(TestCluster &Cluster, std::size_t Workers)
    -> std::vector<std::string>;

} // namespace jayramp
