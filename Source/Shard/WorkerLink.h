#pragma once

#include "Shard/RunOverEvidence.h"
#include "Shard/WorkerLeases.h"
#include "Shard/WorkerLife.h"
#include "Shard/WorkerTransport.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jayramp::scheduling {
struct RunId;
} // namespace jayramp::scheduling

namespace jayramp::shard {

struct SessionContext;
struct WorkerChange;

/// What an owner needs to send orders to one worker and to judge the answers:
/// the life of its process, its address and its leases.
class WorkerLink {
public:
  /// \p PredecessorLeasesExpireAt is the time at which leases granted by the
  /// previous owner have expired; absent if the worker has none.
  WorkerLink(SessionContext &SharedContext, std::string Worker,
             std::optional<TimePoint> PredecessorLeasesExpireAt);

  // Commands.

  /// Learns what \p Seen tells of the worker's life, and tells the scheduler
  /// whether the worker answers. Whether it is registered, the scheduler knows.
  auto learn(const life_event::Event &Seen) -> WorkerLife::Transition;
  /// Handles a new entry of the worker in the registry.
  auto recordEntry(const WorkerChange &Change) -> WorkerLife::Transition;
  /// Handles the removal of the worker's entry.
  auto recordRemoval(bool WasDraining) -> void;
  /// Records that the worker has answered a call.
  auto recordContact() -> void { LastContact = Clock::now(); }
  /// Records the clock in the answer of the process \p Incarnation.
  auto recordClock(std::int64_t Incarnation, std::int64_t ClockMs) -> void;
  /// Grants a lease to the process that target() names, and returns its end on
  /// the clock of that process.
  auto grantLease() -> std::int64_t { return Leases.grant(Clock::now()); }
  /// Reports a run to the scheduler as over. Nothing else does so for a run
  /// without a listed end.
  auto concludeRunOver(const scheduling::RunId &Id, RunOverEvidence Evidence)
      -> void;
  /// Logs if the reply to a start shows a clock below \p LeastClockMs, the
  /// least that the clock of the process that it was meant for could show.
  auto reportOtherProcess(const scheduling::RunId &Id,
                          std::int64_t LeastClockMs,
                          const OrderReply &Reply) const -> void;

  // Queries.

  auto worker() const -> const std::string & { return Worker; }
  auto life() const -> const WorkerLife & { return Life; }
  auto leases() const -> const WorkerLeases & { return Leases; }
  /// Returns whether an address of the worker is known.
  auto hasAddress() const -> bool { return !Address.empty(); }
  /// Returns when the worker last answered a call; the epoch if it never did.
  auto lastContact() const -> TimePoint { return LastContact; }
  /// Returns the worker with the process that may be granted leases and
  /// acknowledgements, if there is one.
  auto target() const -> WorkerTarget;
  auto mayGrantLeases() const -> bool;
  /// Returns whether no lease on the worker can be valid, so that its lease has
  /// expired since any of its runs ended.
  auto areLeasesOver() const -> bool;
  /// Returns what shows that no run is alive on the worker, if anything does.
  auto evidenceAgainstRuns() const -> std::optional<RunOverEvidence>;

private:
  auto logChange(const WorkerLife &Before) const -> void;
  /// Returns the incarnation in the worker's entry; 0 if it is unknown.
  auto entryIncarnation() const -> std::int64_t;

  SessionContext &SharedContext;
  std::uint64_t SessionNumber = 0; ///< Tells sessions apart in the log.
  std::string Worker;
  std::string Address; ///< Last known address; kept after the worker has left.
  WorkerLife Life;
  WorkerLeases Leases;
  TimePoint LastContact;
  /// The worker's last entry was not written before this time.
  std::optional<Milliseconds> EntryWrittenAfter;
};

} // namespace jayramp::shard
