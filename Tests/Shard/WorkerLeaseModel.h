#pragma once

#include "Shard/RunOverEvidence.h"
#include "Shard/WorkerLeases.h"
#include "Shard/WorkerLife.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace jayramp::test {

/// Faults that the model can simulate around WorkerLeases, to show that the
/// checks detect them.
enum class LeaseFault {
  None,
  /// A start reaches whichever process listens.
  StartsReachAnyProcess,
  /// Clock readings in entries of other processes are used.
  UseClockOfAnyEntry,
  /// Worker clocks are slower than leases allow for.
  SlowClocks,
};

/// Simulates in simulated time a worker whose process restarts under its id,
/// with a clock that starts anew and is inexact, and an owner that knows it by
/// a WorkerLife and its WorkerLeases. Calls and entries arrive late, in any
/// order or never; those that arrive late at the worker are carried out.
class WorkerLeaseModel {
public:
  explicit WorkerLeaseModel(LeaseFault Fault);

  /// Executes the step that \p Choice encodes.
  auto executeStep(std::uint32_t Choice) -> void;

  /// Returns a description of the first violated property; empty if there is
  /// none.
  auto firstViolation() const -> std::string_view { return FirstViolation; }
  /// Returns how many runs were concluded by each evidence.
  auto conclusions() const
      -> const std::map<shard::RunOverEvidence, std::size_t> & {
    return Conclusions;
  }
  auto startCount() const -> std::size_t { return Starts; }

private:
  struct Process {
    std::int64_t Incarnation = 0;
    TimePoint StartedAt;
    std::int64_t FirstReadingMs = 1;
    std::int64_t SpeedPermille = 1000; ///< Of its clock.
    bool HasLeft = false;              ///< After a drain.
  };
  struct Entry {
    std::int64_t Incarnation = 0;
    std::int64_t ClockMs = 0;
    bool OfProcessThatLeft = false;
  };
  struct Start {
    std::int64_t Target = 0;
    std::int64_t LeaseEndMs = 0;
    std::uint64_t Run = 0;
  };
  struct RenewalReply {
    std::int64_t Incarnation = 0;
    std::int64_t ClockMs = 0;
    std::uint64_t ListedRun = 0; ///< 0 if none.
  };
  struct Renewal {
    std::uint64_t Number = 0;
    std::int64_t Target = 0;
    std::int64_t LeaseEndMs = 0;
    std::optional<RenewalReply> Reply;
  };

  auto clockMs() const -> std::int64_t;
  auto restart(std::uint32_t Argument) -> void;
  auto leave(std::uint32_t Argument) -> void;
  auto advance(std::uint32_t Argument) -> void;
  auto writeEntry() -> void;
  auto seeEntry(std::uint32_t Argument) -> void;
  auto removeEntry() -> void;
  auto sendRenewal() -> void;
  auto receiveRenewal(std::uint32_t Argument) -> void;
  auto deliverReply(std::uint32_t Argument) -> void;
  auto giveUpRenewal() -> void;
  auto placeOrStart() -> void;
  auto sendStart() -> void;
  auto receiveStart(std::uint32_t Argument) -> void;
  auto answerStart() -> void;
  auto extendLease(std::int64_t LeaseEndMs) -> void;
  auto holdsLease() const -> bool;
  auto learn(const shard::life_event::Event &Seen) -> bool;
  auto conclude(shard::RunOverEvidence Evidence) -> void;
  auto check() -> void;
  auto require(bool Holds, std::string_view Otherwise) -> void;

  LeaseFault Fault;
  TimePoint Now;

  // The worker and the network.
  Process Present;
  std::uint64_t RunOnWorker = 0; ///< 0 if none.
  std::int64_t LeaseUntilMs = 0; ///< On the clock of the present process.
  std::vector<Entry> Entries;    ///< All that were written.
  std::vector<Start> StartsInNetwork;
  std::vector<Renewal> RenewalsInNetwork;

  // The owner.
  shard::WorkerLife Life;
  shard::WorkerLeases Leases;
  std::optional<Entry> VisibleEntry;
  std::optional<std::uint64_t> AwaitedRenewal; ///< Its number.
  std::uint64_t LastRenewalNumber = 0;
  TimePoint AskNotBefore;
  std::uint64_t OwnersRun = 0; ///< 0 if none.
  std::uint64_t LastRun = 0;
  std::optional<Start> AwaitedStart;
  bool StartUnanswered = false;

  std::map<shard::RunOverEvidence, std::size_t> Conclusions;
  std::size_t Starts = 0;
  std::string_view FirstViolation;
};

} // namespace jayramp::test
