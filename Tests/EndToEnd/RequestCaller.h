#pragma once

#include "jayramp/v1/jayramp.pb.h"

#include "Base/Clock.h"

#include <map>
#include <optional>
#include <string>

namespace jayramp {

class HttpTestClient;
class TestCluster;

/// A request of account "alpha" that runs \p RunTime at the worker.
auto makeTestRequest(const std::string &Key, bool Idempotent,
                     Milliseconds RunTime, Milliseconds Deadline)
    -> v1::SubmitRequest;

/// Sends \p Request; nothing if there was no whole answer within \p Timeout or
/// the answer carried no outcome.
auto submitRequest(HttpTestClient &Client, const v1::SubmitRequest &Request,
                   Milliseconds Timeout) -> std::optional<v1::RequestOutcome>;

/// Executions by key, over all workers of \p Cluster.
auto countExecutionsByKey(TestCluster &Cluster, std::size_t Workers)
    -> std::map<std::string, int>;

} // namespace jayramp
