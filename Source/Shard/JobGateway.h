#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/JobProgress.h"
#include "Scheduling/JobSpec.h"
#include "Store/RowStore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jayramp::shard {

/// What a caller is told of its call.
enum class CallOutcome {
  Done,
  NotFound,
  NotExecuted, ///< Nothing was done and nothing will be; the caller may come
               ///< back.
  Unknown,     ///< The call may have taken effect.
};

/// The job calls of callers, on any entry host: they read and write the shard's
/// rows and need no owner.
class JobGateway {
public:
  using Callback = std::function<void(CallOutcome)>;
  using StateCallback = std::function<void(CallOutcome, scheduling::JobState)>;
  using CountCallback = std::function<void(CallOutcome, std::size_t)>;

  /// Told of each row of a shard that a caller's request has stored.
  using StoredRowListener =
      std::function<void(const std::string &Shard, const store::Row &Stored)>;

  JobGateway(net::EventLoop &Loop, store::RowStore &Store)
      : Loop(Loop), Store(Store) {}

  /// A recent count of the waiting jobs of a queue, if there is one.
  using WaitingCountSource = std::function<std::optional<std::size_t>(
      const std::string &Shard, const std::string &Queue)>;

  auto setWaitingCountSource(WaitingCountSource Next) -> void {
    ReadWaitingCount = std::move(Next);
  }
  auto setStoredRowListener(StoredRowListener Next) -> void {
    OnStored = std::move(Next);
  }

  /// Stores a job before \p Deadline; an id that is known is Done too.
  auto submit(scheduling::JobSpec Job, TimePoint Deadline, Callback Done)
      -> void;
  auto queryState(const std::string &Shard, const std::string &Job,
                  TimePoint Deadline, StateCallback Done) -> void;
  auto cancel(const std::string &Shard, const std::string &Job,
              TimePoint Deadline, Callback Done) -> void;
  /// Number of accepted jobs of a queue of which no task has started.
  auto countWaitingJobs(const std::string &Shard, const std::string &Queue,
                        TimePoint Deadline, CountCallback Done) -> void;

private:
  /// A write that is repeated until its outcome is known.
  struct Write;
  /// A read that is repeated until it is answered.
  struct Read;
  struct Lookup;

  auto start(std::shared_ptr<Write> Call) -> void;
  auto attempt(std::shared_ptr<Write> Call) -> void;
  /// Tries a second partition if the first takes long: it may be slow, and an
  /// attempt that is given up would only be repeated.
  auto scheduleHedge(const std::shared_ptr<Write> &Call) -> void;
  auto onWriteOutcome(const std::shared_ptr<Write> &Call,
                      std::size_t Alternative,
                      const store::TransactionOutcome &Outcome) -> void;
  auto notifyStored(const Write &Call, std::size_t Alternative,
                    std::uint64_t Version) const -> void;
  auto tryNextPartition(const std::shared_ptr<Write> &Call) -> void;
  auto failedRecently(const std::string &Partition) const -> bool;
  auto attempt(std::shared_ptr<Read> Call) -> void;
  auto read(store::RangeQuery Query, TimePoint Deadline,
            std::function<void(std::optional<store::RowPage>)> Done) -> void;
  /// No answer can be expected before the deadline.
  auto cannotComplete(TimePoint Deadline) const -> bool;
  auto sendRead(store::RangeQuery Query, TimePoint Deadline,
                std::function<void(std::optional<store::RowPage>)> Done)
      -> void;
  /// One attempt; no page if the store does not answer.
  auto readOnce(store::RangeQuery Query, TimePoint Deadline,
                std::function<void(std::optional<store::RowPage>)> Done)
      -> void;
  /// Looks in all partitions in which the job may have rows.
  auto readAllPartitions(const std::string &Shard, const std::string &Job,
                         TimePoint Deadline, StateCallback Done) -> void;
  auto onPartitionRead(Lookup &Found, std::optional<store::RowPage> Page)
      -> void;
  static auto reportState(const store::Row &Progress, const StateCallback &Done)
      -> void;

  net::EventLoop &Loop;
  store::RowStore &Store;
  StoredRowListener OnStored;
  WaitingCountSource ReadWaitingCount;
  /// Partitions that failed, with the time until which others go first.
  std::map<std::string, TimePoint> DeprioritizedUntil;
};

} // namespace jayramp::shard
