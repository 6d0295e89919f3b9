#pragma once

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Scheduling/ShardScheduler.h"
#include "Shard/AnswerTimes.h"
#include "Shard/FreshnessGuard.h"
#include "Shard/ProgressJournal.h"
#include "Shard/ShardSettings.h"
#include "Shard/StartDelayLog.h"
#include "Shard/WorkerTransport.h"

#include <cstdint>
#include <functional>

namespace jayramp::shard {

class WorkerSession;

/// State that all worker sessions of a shard owner share.
struct SessionContext {
  net::EventLoop &Loop;
  WorkerTransport &Transport;
  scheduling::ShardScheduler &Scheduler;
  const ShardSettings &Settings;
  ProgressJournal &Journal;
  const FreshnessGuard &Freshness;
  std::uint64_t FencingToken = 0;
  /// Time from which no lease that an earlier owner granted can be valid.
  TimePoint PredecessorLeasesExpireAt;
  /// Number of the session that was created last.
  std::uint64_t LastSessionNumber = 0;
  /// Returns false once leases must not be granted or renewed any more.
  std::function<bool()> MayGrantLeases;
  /// Called when a session has changed the scheduler's state.
  std::function<void()> OnStateChanged;
  /// Called after a session has sent the orders that were due.
  std::function<void(const WorkerSession &)> OnOrdersSent;
  /// Called when the reply to a call has left a session idle.
  std::function<void(const WorkerSession &)> OnIdle;
  /// Called when a worker has seen a higher fencing token.
  std::function<void()> OnFenced;
  StartDelayLog StartDelays;
  /// Learned from starts and stops.
  AnswerTimes Answers{Settings.OrderTimeout, Settings.longestStartTimeout()};
};

} // namespace jayramp::shard
