#pragma once

#include "Platform/WorkerClient.h"

#include <memory>

namespace jayramp {

class HttpChannel;
class Metrics;

/// Calls workers over HTTP. The callback of execute() runs on a shared HTTP
/// thread and must not block. Each non-idempotent attempt uses a new
/// connection, so that it is never sent twice. Idempotent attempts, status()
/// and control() share one client with a connection pool for each worker; the
/// client is discarded when a call fails or times out.
class HttpWorkerClient final : public WorkerClient {
public:
  /// Creates a client. \p Registry must outlive it.
  static auto create(Metrics &Registry)
      -> Result<std::unique_ptr<HttpWorkerClient>>;

  /// Ends the attempts in progress with AttemptInterrupted.
  ~HttpWorkerClient() override;

  auto execute(RequestAttempt Attempt, AttemptCallback Done) -> void override;
  auto status(const std::string &WorkerAddress, std::uint64_t Epoch,
              Milliseconds Timeout) -> Result<WorkerStatus> override;
  auto control(const std::string &WorkerAddress, const TaskCall &Call,
               Milliseconds Timeout)
      -> Result<std::vector<TaskStatus>> override;

private:
  explicit HttpWorkerClient(std::unique_ptr<HttpChannel> Channel);

  std::unique_ptr<HttpChannel> Channel;
};

} // namespace jayramp
