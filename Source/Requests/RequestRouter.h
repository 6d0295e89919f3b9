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

/// Routes callers' requests to workers. A request passes these stages: claim of
/// its key (unless idempotent), queue, slot, attempt at a worker, outcome. All
/// members are safe to call from any thread and never block.
class RequestRouter {
public:
  using OutcomeCallback = std::function<void(const v1::RequestOutcome &)>;

  struct Options {
    std::string HostName;
    Milliseconds AttemptTimeout{30000};
    std::size_t MaximumQueue = 4096; ///< Queued requests of all accounts.
  };

  /// The references must outlive the router.
  RequestRouter(Options Settings, MembershipRunner &Membership,
                KeyCoordinator &Keys, SlotBroker &Slots, WorkerClient &Workers,
                TimerThread &Timer, Metrics &Counters);
  ~RequestRouter();
  RequestRouter(const RequestRouter &) = delete;
  auto operator=(const RequestRouter &) -> RequestRouter & = delete;

  /// Accepts a validated request. \p Respond is called exactly once, on any
  /// thread and at the latest shortly after the request's deadline.
  auto submit(const v1::SubmitRequest &Request, OutcomeCallback Respond)
      -> void;

  /// Cancels the waiting requests with \p Key on this host. \p Respond is
  /// called with the outcome of the newest one: NOT_RUN with reason CANCELLED,
  /// unless an earlier attempt or a request with another claim may have run.
  /// \returns NotFound if this host has no such request, Conflict if all of
  /// them are running at workers; \p Respond is not called in either case.
  auto cancel(const std::string &Account, const std::string &Key,
              const OutcomeCallback &Respond) -> Result<void>;

  /// Reports the claims of open requests to the homes of their keys in a new
  /// view.
  auto reassertClaims() -> void;

  /// Applies the account shares and limits of a configuration.
  auto applyConfiguration(const Configuration &NewConfiguration) -> void;

  /// Refuses all later requests with reason STOPPING.
  auto refuseNewRequests() -> void;

  /// Returns the number of requests without an outcome yet.
  auto requestsInProgress() const -> std::size_t;

private:
  class Implementation;

  std::shared_ptr<Implementation> Body;
};

} // namespace jayramp
