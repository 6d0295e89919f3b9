#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jayramp {

class TestCluster;

/// Callers that send short requests with keys of their own to the entry hosts
/// that are ready, one request at a time for each caller.
class RequestLoad {
public:
  struct Options {
    std::size_t Callers = 8;
    /// Pause of a caller between two requests.
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
    /// "ANSWERED", an outcome with its reason such as "NOT_RUN STALE_VIEW", or
    /// "CUT ..." if the connection failed.
    std::string Result;

    auto latency() const -> Milliseconds {
      return std::chrono::duration_cast<Milliseconds>(End - Begin);
    }
  };

  /// \p Cluster must outlive this object.
  RequestLoad(const TestCluster &Cluster, const Options &Wanted);
  ~RequestLoad();

  /// Hosts that are called; all at first. \p FollowReadiness: a host is called
  /// only while GET /v1/ready answers 200, asked every 20 ms.
  auto setHostInUse(std::size_t Host, bool Used) -> void;
  auto followReadiness() -> void;

  /// Ends the callers when their last requests are answered.
  auto stop() -> std::vector<SentRequest>;

  /// Sends one request and waits for its outcome.
  static auto send(const std::string &Address, const std::string &Key,
                   const Options &Wanted) -> std::string;

private:
  class State;
  std::unique_ptr<State> Body;
};

/// Number of requests by result.
auto countResults(const std::vector<RequestLoad::SentRequest> &Requests)
    -> std::map<std::string, std::size_t>;

/// The given share, for example 0.99, of the requests took at most this long.
auto percentile(const std::vector<RequestLoad::SentRequest> &Requests,
                double Share) -> Milliseconds;

/// Keys with more than one execution on the workers of \p Cluster.
auto keysExecutedMoreThanOnce(TestCluster &Cluster, std::size_t Workers)
    -> std::vector<std::string>;

} // namespace jayramp
