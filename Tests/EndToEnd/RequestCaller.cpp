#include "EndToEnd/RequestCaller.h"

#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/TestCluster.h"
#include "Schema/JsonMapping.h"

#include <cpprest/json.h>

#include <stdexcept>

namespace jayramp {

auto makeTestRequest(const std::string &Key, bool Idempotent,
                     Milliseconds RunTime, Milliseconds Deadline)
    -> v1::SubmitRequest {
  v1::SubmitRequest Request;
  Request.set_account("alpha");
  Request.set_key(Key);
  Request.set_idempotent(Idempotent);
  Request.set_work_class(v1::SHORT);
  Request.set_deadline_ms(static_cast<std::uint32_t>(Deadline.count()));
  Request.set_payload(R"({"run_ms":)" + std::to_string(RunTime.count()) +
                      R"(,"answer_bytes":20})");
  return Request;
}

auto submitRequest(HttpTestClient &Client, const v1::SubmitRequest &Request,
                   Milliseconds Timeout) -> std::optional<v1::RequestOutcome> {
  try {
    auto Response =
        Client.call("POST", "/v1/requests", renderJson(Request), Timeout);
    v1::RequestOutcome Outcome;
    if (Response.Status != 200 || !parseJson(Response.Body, Outcome))
      return std::nullopt;
    return Outcome;
  } catch (const std::runtime_error &) {
    return std::nullopt;
  }
}

auto countExecutionsByKey(TestCluster &Cluster, std::size_t Workers)
    -> std::map<std::string, int> {
  std::map<std::string, int> Counts;
  for (std::size_t Index = 0; Index < Workers; ++Index) {
    auto Record = Cluster.workers().record(static_cast<int>(Index));
    for (const auto &Execution : Record.at("executions").as_array())
      ++Counts[Execution.at("key").as_string()];
  }
  return Counts;
}

} // namespace jayramp
