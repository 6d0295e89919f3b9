#include "Requests/RequestQueue.h"

#include "Requests/ConfigurationDefaults.h"
#include "Requests/PendingRequest.h"

#include "jayramp/v1/jayramp.pb.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace jayramp {

namespace {

auto declaredClass(const v1::SubmitRequest &Request)
    -> std::optional<WorkClass> {
  if (Request.work_class() == v1::SHORT)
    return WorkClass::Short;
  if (Request.work_class() == v1::LONG)
    return WorkClass::Long;
  return std::nullopt;
}

} // namespace

RequestQueue::RequestQueue(std::size_t MaximumEntries)
    : Queue(FairQueue::make({.MaxEntries = MaximumEntries}).value()),
      ClassPolicy(
          WorkClassPolicy::make(Milliseconds(DefaultShortLimitMs)).value()),
      Retries(RetryBudget::make({.Seed = std::random_device{}()}).value()) {}

auto RequestQueue::push(PendingRequest &Entry, TimePoint Now) -> PushDecision {
  std::lock_guard Lock(Mutex);
  auto Declared = declaredClass(Entry.Request);
  Entry.Class = ClassPolicy.classify(Entry.Request.account(), Declared);
  Entry.QueuedAt = Now;
  // A request started later would probably not end by its deadline and waste
  // the slot. A request whose deadline was too short from the start is tried
  // nevertheless, as the expected run time may be wrong.
  auto LatestStart = Entry.Deadline - expectedRunTimeLocked(Entry.Request);
  if (LatestStart <= Entry.AcceptedAt)
    LatestStart = Entry.Deadline;
  return Queue.push({.Id = Entry.Id,
                     .Account = Entry.Request.account(),
                     .Class = Entry.Class,
                     .Deadline = LatestStart,
                     .Cost = ClassPolicy.expectedRunSeconds(
                         Entry.Request.account(), Declared)},
                    Now);
}

auto RequestQueue::popWithSlot(const AcquireSlot &Acquire)
    -> std::optional<EntryWithSlot> {
  std::lock_guard Lock(Mutex);
  auto Next = Queue.pop(true, Clock::now());
  if (!Next)
    return std::nullopt;
  SlotDecision Decision = Acquire(*Next);
  if (const auto *Grant = std::get_if<SlotGrant>(&Decision))
    return EntryWithSlot{*Next, *Grant};
  // pop() returns short work first, so long work that may not use a slot now
  // does not block short work.
  Queue.pushFront(*Next);
  return std::nullopt;
}

auto RequestQueue::popForGrant(const SlotGrant &Grant)
    -> std::optional<QueueEntry> {
  std::lock_guard Lock(Mutex);
  return Queue.pop(Grant.Class == WorkClass::Long, Clock::now());
}

auto RequestQueue::cancel(std::uint64_t Id) -> void {
  std::lock_guard Lock(Mutex);
  Queue.cancel(Id);
}

auto RequestQueue::dropExpired() -> void {
  std::lock_guard Lock(Mutex);
  Queue.takeExpired(Clock::now());
}

auto RequestQueue::size() const -> std::size_t {
  std::lock_guard Lock(Mutex);
  return Queue.size();
}

auto RequestQueue::size(WorkClass Class) const -> std::size_t {
  std::lock_guard Lock(Mutex);
  return Queue.size(Class);
}

auto RequestQueue::recordRunTime(const v1::SubmitRequest &Request,
                                 Milliseconds RunTime) -> void {
  std::lock_guard Lock(Mutex);
  ClassPolicy.recordRunTime(Request.account(), declaredClass(Request), RunTime);
}

auto RequestQueue::expectedRunTime(const v1::SubmitRequest &Request) const
    -> Milliseconds {
  std::lock_guard Lock(Mutex);
  return expectedRunTimeLocked(Request);
}

auto RequestQueue::expectedRunTimeLocked(const v1::SubmitRequest &Request) const
    -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::duration<double>(ClassPolicy.expectedRunSeconds(
          Request.account(), declaredClass(Request))));
}

auto RequestQueue::recordFirstAttempt() -> void {
  std::lock_guard Lock(Mutex);
  Retries.recordFirstAttempt();
}

auto RequestQueue::takeRetryDelay() -> std::optional<Milliseconds> {
  std::lock_guard Lock(Mutex);
  if (!Retries.tryTakeRetry())
    return std::nullopt;
  return Retries.backoff(1);
}

auto RequestQueue::applyConfiguration(const v1::ConfigurationDocument &Document)
    -> void {
  std::lock_guard Lock(Mutex);
  for (const auto &Account : Document.accounts())
    Queue.setShare(Account.name(), std::max(1U, Account.request_share()));
  ClassPolicy.setShortLimit(Milliseconds(
      valueOrDefault(Document.short_limit_ms(), DefaultShortLimitMs)));
  Queue.setAccountLimit(
      valueOrDefault(Document.queue_limit(), DefaultQueueLimit));
  Retries.setShare(valueOrDefault(Document.retry_budget_percent(),
                                  DefaultRetryBudgetPercent) /
                   100.0);
}

} // namespace jayramp
