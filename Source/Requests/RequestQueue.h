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

/// The waiting requests of one entry host with the observed run times and the
/// retry budget, under one lock. All members are safe to call from any thread.
class RequestQueue {
public:
  using AcquireSlot = std::function<SlotDecision(const QueueEntry &)>;

  /// A request that was taken from the queue with its slot.
  struct EntryWithSlot {
    QueueEntry Entry;
    SlotGrant Grant;
  };

  explicit RequestQueue(std::size_t MaximumEntries);

  /// Classifies a request and appends it. The caller holds the request's lock.
  auto push(PendingRequest &Entry, TimePoint Now) -> PushDecision;

  /// Takes the next request if \p Slot grants it one. \p Slot runs under the
  /// queue's lock.
  auto popWithSlot(const AcquireSlot &Slot) -> std::optional<EntryWithSlot>;

  /// Takes the next request for a slot that is already granted.
  auto popForGrant(const SlotGrant &Grant) -> std::optional<QueueEntry>;

  auto cancel(std::uint64_t Id) -> void;
  /// Drops entries whose latest start has passed; their requests end by their
  /// own deadline.
  auto dropExpired() -> void;

  auto size() const -> std::size_t;
  auto size(WorkClass Class) const -> std::size_t;

  /// Learns the run time of an attempt that a worker carried out.
  auto recordRunTime(const v1::SubmitRequest &Request, Milliseconds RunTime)
      -> void;
  auto expectedRunTime(const v1::SubmitRequest &Request) const -> Milliseconds;

  auto recordFirstAttempt() -> void;
  /// Time to wait before a retry; nothing if the budget is used up.
  auto takeRetryDelay() -> std::optional<Milliseconds>;

  auto applyConfiguration(const v1::ConfigurationDocument &Document) -> void;

private:
  auto expectedRunTimeLocked(const v1::SubmitRequest &Request) const
      -> Milliseconds;

  mutable std::mutex Mutex; ///< Guards all below.
  FairQueue Queue;
  WorkClassPolicy ClassPolicy;
  RetryBudget Retries;
};

} // namespace jayramp
