#pragma once

#include "Base/Clock.h"
#include "Requests/FairQueue.h"
#include "Requests/PushDecision.h"
#include "Requests/RetryBudget.h"
#include "Requests/SlotDecision.h"
#include "Requests/WorkClassPolicy.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

namespace jayramp::v1 {
class ConfigurationDocument;
class SubmitRequest;
} // namespace jayramp::v1

namespace jayramp {

struct PendingRequest;

/// The queued requests of one entry host, the recorded run times and the retry
/// budget, all guarded by one mutex. All members are safe to call from any
/// thread.
class RequestQueue {
public:
  using AcquireSlot = std::function<SlotDecision(const QueueEntry &)>;

  /// A request removed from the queue and the slot granted for it.
  struct EntryWithSlot {
    QueueEntry Entry;
    SlotGrant Grant;
  };

  explicit RequestQueue(std::size_t MaximumEntries);

  /// Classifies a request and appends it. The caller holds the request's mutex.
  auto push(PendingRequest &Entry, TimePoint Now) -> PushDecision;

  /// Removes and returns the next request if \p Acquire grants a slot for it;
  /// otherwise returns nothing. \p Acquire is called with the queue's mutex
  /// held.
  auto popWithSlot(const AcquireSlot &Acquire) -> std::optional<EntryWithSlot>;

  /// Removes and returns the next request for a slot that is already granted.
  auto popForGrant(const SlotGrant &Grant) -> std::optional<QueueEntry>;

  /// Removes a request if it is queued.
  auto cancel(std::uint64_t Id) -> void;
  /// Removes entries that can no longer start in time. The deadline timers of
  /// their requests report the outcome.
  auto dropExpired() -> void;

  auto size() const -> std::size_t;
  auto size(WorkClass Class) const -> std::size_t;

  /// Records the run time of an attempt that a worker completed.
  auto recordRunTime(const v1::SubmitRequest &Request, Milliseconds RunTime)
      -> void;
  /// Returns the mean recent run time of such requests; see WorkClassPolicy.
  auto expectedRunTime(const v1::SubmitRequest &Request) const -> Milliseconds;

  /// Adds the retry budget that a first attempt earns.
  auto recordFirstAttempt() -> void;
  /// Takes one retry from the budget and returns the time to wait before it, or
  /// nothing if the budget is used up.
  auto takeRetryDelay() -> std::optional<Milliseconds>;

  /// Applies the account shares and limits of a configuration.
  auto applyConfiguration(const v1::ConfigurationDocument &Document) -> void;

private:
  auto expectedRunTimeLocked(const v1::SubmitRequest &Request) const
      -> Milliseconds;

  mutable std::mutex Mutex; ///< Guards all members below.
  FairQueue Queue;
  WorkClassPolicy ClassPolicy;
  RetryBudget Retries;
};

} // namespace jayramp
