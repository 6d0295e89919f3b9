#pragma once

#include "Base/Clock.h"
#include "Shard/RunOverEvidence.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace jayramp::shard {

/// What the calls to a worker have shown of the process behind its id. A
/// process is named by its incarnation, its start time in Unix milliseconds.
namespace contact {

/// Neither an entry nor an answer names a process.
struct Unidentified {
  unsigned Failures = 0; ///< Calls in a row without an answer.
  auto operator==(const Unidentified &) const -> bool = default;
};

/// The worker's entry names the process, which has not been asked.
struct Introduced {
  std::int64_t Incarnation = 0;
  auto operator==(const Introduced &) const -> bool = default;
};

/// The process answered the last call.
struct Answering {
  std::int64_t Incarnation = 0;
  auto operator==(const Answering &) const -> bool = default;
};

/// The process did not answer the last calls. It may hold leases.
struct Silent {
  std::int64_t Incarnation = 0;
  unsigned Failures = 0; ///< Calls in a row without an answer.
  auto operator==(const Silent &) const -> bool = default;
};

/// Another process seems to have taken the place of one that may hold leases.
/// It has not answered.
struct Replaced {
  std::int64_t Former = 0;
  unsigned Failures = 0; ///< Calls in a row without an answer.
  auto operator==(const Replaced &) const -> bool = default;
};

using State =
    std::variant<Unidentified, Introduced, Answering, Silent, Replaced>;

} // namespace contact

/// What an owner learns about a worker's process.
namespace life_event {

/// The worker's entry in service discovery names a process.
struct EntrySeen {
  std::int64_t Incarnation = 0; ///< 0 if the entry does not tell.
};

/// The worker's entry is no longer in service discovery.
struct EntryRemoved {
  std::int64_t Incarnation = 0; ///< That it named; 0 if it did not tell.
  bool LeftAfterDrain = false;  ///< Removed too early to have expired.
};

/// A query or renewal was answered. Replies that the owner has stopped waiting
/// for are not reported. One that does not tell its process counts as none.
struct Answered {
  std::int64_t Incarnation = 0; ///< Not 0.
};

/// A query or renewal was not answered in time.
struct Unanswered {};

/// An order was not sent, because another process than the one that it was
/// meant for listens at the worker's address.
struct OtherProcessFound {};

using Event = std::variant<EntrySeen, EntryRemoved, Answered, Unanswered,
                           OtherProcessFound>;

} // namespace life_event

/// What an owner knows of a worker's life, and what follows from it: whether
/// the worker may get tasks and leases, when it is asked next, and what is
/// certain of its runs. Nothing else of an owner keeps a part of this.
class WorkerLife {
public:
  struct Transition;

  /// Returns the life of a worker of which nothing is known.
  WorkerLife() = default;

  /// Returns what is known after \p Seen, and what has to be done.
  auto after(const life_event::Event &Seen) const -> Transition;

  auto state() const -> const contact::State & { return State; }
  /// Returns the process for which orders are outstanding or may be sent; 0 if
  /// none is known.
  auto incarnation() const -> std::int64_t;
  /// Returns whether the worker's entry is in service discovery.
  auto isRegistered() const -> bool { return Registered; }
  /// Returns whether the process that runs now answered the last call.
  auto answers() const -> bool;
  /// Returns whether the last call was not answered.
  auto isSilent() const -> bool;
  /// Returns whether the worker has answered this owner, so that the runs that
  /// an earlier owner started on it are known.
  auto hasAnswered() const -> bool { return AnsweredBefore; }
  /// Returns whether tasks may be placed on the worker. The scheduler knows by
  /// itself whether the worker is registered and is told whether it answers.
  auto mayReceiveTasks() const -> bool { return Registered && answers(); }
  /// Returns whether the process may get leases and acknowledgements. While it
  /// is silent, its leases must be able to expire.
  auto mayBeGranted() const -> bool;
  /// Returns whether the worker has to be asked although it has no runs.
  auto mustBeAsked() const -> bool;
  /// Returns the delay before the worker is asked again after the last call
  /// that it did not answer; doubles with each, from twice \p Shortest.
  auto probeDelay(Milliseconds Shortest) const -> Milliseconds;
  /// Returns what shows that no run is alive on the worker; nothing while one
  /// may be. \p LeasesOver tells whether all leases have certainly expired.
  auto evidenceAgainstRuns(bool LeasesOver) const
      -> std::optional<RunOverEvidence>;

  auto operator==(const WorkerLife &) const -> bool = default;

private:
  class Step;

  contact::State State;
  /// The process before the present one; a late entry may still name it.
  std::int64_t Former = 0;
  /// The process whose entry shows that it has left after a drain; 0 if none.
  std::int64_t ProcessThatLeft = 0;
  bool Registered = false;
  bool AnsweredBefore = false;
};

/// The result of an event.
struct WorkerLife::Transition {
  WorkerLife Next;
  /// The worker has to be asked at once which process runs; replies that are
  /// still waited for come from a process that is gone.
  bool AskNow = false;
  /// Numbers, clocks and orders of the process before mean nothing any more.
  bool NewIncarnation = false;
  /// The process before has certainly ended, and its runs with it.
  bool FormerEnded = false;
};

} // namespace jayramp::shard
