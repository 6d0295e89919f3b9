#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace jayramp::v1 {
class RequestOutcome;
class SubmitRequest;
} // namespace jayramp::v1

namespace jayramp {

class Configuration;
class KeyCoordinator;
class MembershipRunner;
class Metrics;
class SlotBroker;
class TimerThread;
class WorkerClient;

/// Carries callers' requests to workers: claim of the key, queue, slot,
/// attempt, outcome. All members are safe to call from any thread and never
/// block.
class RequestRouter {
public:
  using OutcomeCallback = std::function<void(const v1::RequestOutcome &)>;

  struct Options {
    std::string HostName;
    Milliseconds AttemptTimeout{30000};
    std::size_t MaximumQueue = 4096;
  };

  /// The references must outlive the router.
  RequestRouter(Options Settings, MembershipRunner &Membership,
                KeyCoordinator &Keys, SlotBroker &Slots, WorkerClient &Workers,
                TimerThread &Timer, Metrics &Counters);
  ~RequestRouter();
  RequestRouter(const RequestRouter &) = delete;
  auto operator=(const RequestRouter &) -> RequestRouter & = delete;

  /// Takes a validated request. \p Respond is called exactly once, at the
  /// latest shortly after the request's deadline, on any thread.
  auto submit(const v1::SubmitRequest &Request, OutcomeCallback Respond)
      -> void;

  /// Ends the waiting requests with \p Key on this host. \p Respond is called
  /// with the outcome of the newest, NOT_RUN with reason CANCELLED unless an
  /// earlier attempt or another claim may have run.
  /// \returns NotFound if none is here, Conflict if it is at a worker; then
  /// \p Respond is not called.
  auto cancel(const std::string &Account, const std::string &Key,
              const OutcomeCallback &Respond) -> Result<void>;

  /// Names the claims of open requests to the homes of a new view.
  auto reassertClaims() -> void;

  /// Takes over shares and limits of a configuration.
  auto applyConfiguration(const Configuration &Newer) -> void;

  /// From now on new requests are refused with reason STOPPING.
  auto refuseNewRequests() -> void;

  /// Requests without an outcome yet.
  auto requestsInProgress() const -> std::size_t;

private:
  class Implementation;

  std::shared_ptr<Implementation> Body;
};

} // namespace jayramp
