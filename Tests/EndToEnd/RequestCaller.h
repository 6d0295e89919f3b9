#pragma once

#include "jayramp/v1/jayramp.pb.h"

#include "Base/Clock.h"

#include <map>
#include <optional>
#include <string>

namespace jayramp {

class HttpTestClient;
class TestCluster;

/// Returns a short request of the client account "alpha" that runs for
/// \p RunTime at the worker.
auto makeTestRequest(const std::string &Key, bool Idempotent,
                     Milliseconds RunTime, Milliseconds Deadline)
    -> v1::SubmitRequest;

/// Sends \p Request and returns its outcome. Returns nothing if no complete
/// response arrived within \p Timeout, or if the response was an error or had
/// no valid outcome.
auto submitRequest(HttpTestClient &Client, const v1::SubmitRequest &Request,
                   Milliseconds Timeout) -> std::optional<v1::RequestOutcome>;

/// Returns the number of executions of each key, summed over the first
/// \p Workers workers of \p Cluster.
auto countExecutionsByKey(TestCluster &Cluster, std::size_t Workers)
    -> std::map<std::string, int>;

} // namespace jayramp
