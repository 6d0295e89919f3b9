#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/JobProgress.h"
#include "Scheduling/JobSpec.h"
#include "Shard/CallOutcome.h"
#include "Shard/JobLocator.h"
#include "Shard/PartitionHealth.h"
#include "Shard/QueueHistory.h"
#include "Store/RowStore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jayramp::shard {

/// Which intake partitions may store a job.
enum class IntakeChoice {
  Any,
  /// Only the one that the job's id maps to, so that two hosts that send the
  /// job to different services cannot store it twice.
  Preferred,
};

/// Serves job calls on any entry host by reading and writing the job's rows
/// directly. Works without a shard owner.
class JobGateway {
public:
  using Callback = std::function<void(CallOutcome)>;
  using StateCallback = std::function<void(CallOutcome, scheduling::JobState)>;
  using CountCallback = std::function<void(CallOutcome, std::size_t)>;

  /// Called for each row that a caller's request has stored and that the owner
  /// of \p Shard may apply before its change feed delivers it.
  using StoredRowListener =
      std::function<void(const std::string &Shard, const store::Row &Stored)>;

  JobGateway(net::EventLoop &Loop, store::RowStore &Store)
      : Loop(Loop), Store(Store), Locator(Store, Health) {}

  /// Returns a recent count of the waiting jobs of a queue in all shards, or
  /// nothing if no recent count is known.
  using WaitingCountSource = std::function<std::optional<std::size_t>(
      const std::string &Service, const std::string &Queue)>;

  auto setWaitingCountSource(WaitingCountSource Next) -> void {
    ReadWaitingCount = std::move(Next);
  }
  auto setStoredRowListener(StoredRowListener Next) -> void {
    OnStored = std::move(Next);
  }

  /// Stores a job. Reports Done also if a job with this id exists already,
  /// NotExecuted if nothing was stored by \p Deadline, and Unknown if a write
  /// was sent but its result is not known by then.
  auto submit(scheduling::JobSpec Job, TimePoint Deadline, Callback Done,
              IntakeChoice Choice = IntakeChoice::Any) -> void;
  /// Reports the state of a job of a queue, whichever service it was accepted
  /// for, with the outcomes of JobLocator::locate().
  auto queryState(const QueueServices &Services, const std::string &Job,
                  TimePoint Deadline, StateCallback Done) -> void;
  /// Stores a cancel row for a job unless the job is final. Reports the
  /// outcomes of queryState() and submit().
  auto cancel(const QueueServices &Services, const std::string &Job,
              TimePoint Deadline, Callback Done) -> void;
  /// Reports the number of accepted jobs of a queue of which no task has
  /// started, or NotExecuted if the store could not be read by \p Deadline.
  /// \p Service is the one that the queue's jobs go to now.
  auto countWaitingJobs(const std::string &Service, const std::string &Queue,
                        TimePoint Deadline, CountCallback Done) -> void;

private:
  /// A write that is retried until its outcome is known or its deadline is
  /// near.
  struct Write;
  /// A read that is retried until it is answered or its deadline is near.
  struct Read;

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
  auto attempt(std::shared_ptr<Read> Call) -> void;
  auto read(store::RangeQuery Query, TimePoint Deadline,
            std::function<void(std::optional<store::RowPage>)> Done) -> void;

  net::EventLoop &Loop;
  store::RowStore &Store;
  StoredRowListener OnStored;
  WaitingCountSource ReadWaitingCount;
  PartitionHealth Health;
  JobLocator Locator;
};

} // namespace jayramp::shard
