#pragma once

#include "Shard/WorkerLife.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jayramp::test {

/// What can happen next in a WorkerLifeModel.
enum class LifeStep {
  WorkerRestarts,
  WorkerDrainsAndRestarts,
  WorkerReceivesCall, ///< The worker computes its reply to the present call.
  CallIsAnswered,     ///< The reply to the present call arrives.
  CallIsUnanswered,
  LateReplyArrives, ///< To a call that the owner has stopped waiting for.
  EntryOfPredecessorProcessSeen, ///< That ran before the owner knew any.
  EntryOfFormerProcessSeen,      ///< That ran before the present one.
  EntryOfPresentProcessSeen,
  EntryWithoutIncarnationSeen,
  EntryExpires,
  EntryOfProcessThatLeftRemoved,
  LeasesExpire, ///< No lease that was granted until now is valid any more.
  TaskPlaced,
  StartSent,
  StartAnswered,
  StartUnanswered,  ///< The owner stops waiting; the start may still arrive.
  StartArrivesLate, ///< A start that the owner does not wait for.
  Count
};

auto toString(LifeStep Step) -> std::string_view;

/// Faults that the model can simulate around WorkerLife, to show that the
/// checks detect them.
enum class LifeFault {
  None,
  /// The owner handles replies to calls that it has stopped waiting for.
  HandleLateReplies,
  /// A start reaches whichever process listens.
  StartsReachAnyProcess,
};

/// Simulates a worker whose process restarts under its id, and an owner that
/// knows it only by a WorkerLife. The owner starts runs of one task, each bound
/// to one process. Time has no measure here: a lease ends with the step that
/// ends all of them.
class WorkerLifeModel {
public:
  /// \p HasRunOfPredecessor tells whether an earlier owner has started the
  /// task on the worker.
  WorkerLifeModel(LifeFault Fault, bool HasRunOfPredecessor);

  /// Executes \p Step. Returns false if it is not possible now.
  auto execute(LifeStep Step) -> bool;

  /// Returns a description of the first violated property; empty if there is
  /// none.
  auto violation() const -> std::string_view { return Violation; }
  /// Returns the evidence by which the last step concluded the run.
  auto concludedBy() const -> std::optional<shard::RunOverEvidence> {
    return ConcludedBy;
  }
  auto hash() const -> std::size_t;

  auto operator==(const WorkerLifeModel &) const -> bool = default;

private:
  /// Number of a process, in the order of their starts; also its incarnation.
  using Process = std::int64_t;
  static constexpr Process NoProcess = 0;
  static constexpr Process PredecessorProcess = 1;
  static constexpr Process FirstProcess = 2;
  static constexpr Process LastProcess = 5;

  struct Reply {
    Process From = NoProcess;
    bool ListsRun = false;
    auto operator==(const Reply &) const -> bool = default;
  };

  auto restart() -> void;
  auto receiveStart(Process Target) -> bool;
  auto sendStart() -> void;
  auto answerStart() -> void;
  auto answerCall() -> void;
  auto handleReply(const Reply &Answer) -> void;
  auto seeEntry(Process Named) -> void;
  auto learn(const shard::life_event::Event &Seen) -> bool;
  auto conclude(shard::RunOverEvidence Evidence) -> void;
  auto checkLeases() -> void;
  auto checkLife() -> void;
  /// Checks that an entry and an answer of the present process let the owner
  /// use the worker again.
  auto checkReturn() -> void;
  auto require(bool Holds, std::string_view Otherwise) -> void;

  auto mayArrive(Process Target) const -> bool;

  LifeFault Fault;

  // The worker and the network.
  Process Present = FirstProcess;
  unsigned ProcessesThatLeft = 0; ///< Bit set by number.
  /// Process that runs the present run with a valid lease.
  Process Runner = NoProcess;
  unsigned StartsInNetwork = 0; ///< Bit set of the processes they are for.
  std::optional<Reply> ReplyInNetwork;
  std::optional<Reply> LateReply;

  // The owner.
  shard::WorkerLife Life;
  bool LeasesOver = true;
  bool HasRun = false;
  bool RunIsRecovered = false;
  bool StartUnanswered = false;
  Process StartInFlightTo = NoProcess;
  bool CallInFlight = false;
  Process EntryOf = NoProcess; ///< In the registry, as the owner sees it.
  bool Registered = false;

  // What the owner may believe.
  Process Trusted = NoProcess;    ///< It answered last; nothing speaks against.
  Process Superseded = NoProcess; ///< The one that Trusted has replaced.
  Process LastTrusted = NoProcess;

  std::optional<shard::RunOverEvidence> ConcludedBy;
  std::string_view Violation;
};

} // namespace jayramp::test
