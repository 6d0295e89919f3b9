#pragma once

#include "Platform/WorkerClient.h"

#include <memory>

namespace jayramp {

class HttpChannel;
class Metrics;

/// The workers over HTTP. execute() runs on the shared HTTP threads; its
/// callback must not block. A non-idempotent attempt has a connection of its
/// own; idempotent ones, status() and control() share a pooled client for each
/// worker, which is dropped after a timeout.
class HttpWorkerClient final : public WorkerClient {
public:
  /// \p Registry must outlive the client.
  static auto create(Metrics &Registry)
      -> Result<std::unique_ptr<HttpWorkerClient>>;

  /// Ends attempts in progress as broken.
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
