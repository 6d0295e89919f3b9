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

/// Outcome of a call as reported to the caller.
enum class CallOutcome {
  Done,
  NotFound,
  NotExecuted, ///< Had no effect and will have none; safe to retry.
  Unknown,     ///< May or may not have taken effect.
};

/// Serves job calls on any entry host by reading and writing the rows of the
/// job's shard directly. Works without a shard owner.
class JobGateway {
public:
  using Callback = std::function<void(CallOutcome)>;
  using StateCallback = std::function<void(CallOutcome, scheduling::JobState)>;
  using CountCallback = std::function<void(CallOutcome, std::size_t)>;

  /// Called for each row of a shard that a caller's request has stored.
  using StoredRowListener =
      std::function<void(const std::string &Shard, const store::Row &Stored)>;

  JobGateway(net::EventLoop &Loop, store::RowStore &Store)
      : Loop(Loop), Store(Store) {}

  /// Returns a recent count of the waiting jobs of a queue, or nothing if no
  /// recent count is known.
  using WaitingCountSource = std::function<std::optional<std::size_t>(
      const std::string &Shard, const std::string &Queue)>;

  auto setWaitingCountSource(WaitingCountSource Next) -> void {
    ReadWaitingCount = std::move(Next);
  }
  auto setStoredRowListener(StoredRowListener Next) -> void {
    OnStored = std::move(Next);
  }

  /// Stores a job. Reports Done also if a job with this id exists already,
  /// NotExecuted if nothing was stored by \p Deadline, and Unknown if a write
  /// was sent but its result is not known by then.
  auto submit(scheduling::JobSpec Job, TimePoint Deadline, Callback Done)
      -> void;
  /// Reports the state of a job: NotFound if no row of it exists, NotExecuted
  /// if the store could not be read by \p Deadline, Unknown if its progress row
  /// cannot be decoded.
  auto queryState(const std::string &Shard, const std::string &Job,
                  TimePoint Deadline, StateCallback Done) -> void;
  /// Stores a cancel row for a job unless the job is final. Reports the
  /// outcomes of queryState() and submit().
  auto cancel(const std::string &Shard, const std::string &Job,
              TimePoint Deadline, Callback Done) -> void;
  /// Reports the number of accepted jobs of a queue of which no task has
  /// started, or NotExecuted if the store could not be read by \p Deadline.
  auto countWaitingJobs(const std::string &Shard, const std::string &Queue,
                        TimePoint Deadline, CountCallback Done) -> void;

private:
  /// A write that is retried until its outcome is known or its deadline is
  /// near.
  struct Write;
  /// A read that is retried until it is answered or its deadline is near.
  struct Read;
  struct Lookup;

  auto start(std::shared_ptr<Write> Call) -> void;
  auto attempt(std::shared_ptr<Write> Call) -> void;
  /// Schedules an attempt on a second partition while the first attempt is
  /// still pending. The first is not abandoned: its partition may only be slow,
  /// and the write would have to be sent again.
  auto scheduleHedge(const std::shared_ptr<Write> &Call) -> void;
  /// Starts an attempt on the next partition unless a read shows that the whole
  /// store is slow.
  auto probeAndHedge(const std::shared_ptr<Write> &Call) -> void;
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
  /// Returns true if the store is unavailable or too little time is left for an
  /// attempt.
  auto cannotComplete(TimePoint Deadline) const -> bool;
  auto sendRead(store::RangeQuery Query, TimePoint Deadline,
                std::function<void(std::optional<store::RowPage>)> Done)
      -> void;
  /// Reads in one attempt; passes no page to \p Done if it fails.
  auto readOnce(store::RangeQuery Query, TimePoint Deadline,
                std::function<void(std::optional<store::RowPage>)> Done)
      -> void;
  /// Reads the job's rows from every partition that may hold them.
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
  /// Partitions whose last call failed, each with the time until which other
  /// partitions are tried before it.
  std::map<std::string, TimePoint> DeprioritizedUntil;
};

} // namespace jayramp::shard
