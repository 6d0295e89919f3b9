#include "Shard/WorkerLife.h"

#include "Base/Overloaded.h"

#include <algorithm>

namespace jayramp::shard {

using namespace contact;
using namespace life_event;

namespace {

/// Longest delay between two queries of a worker that does not answer.
constexpr Milliseconds MaxProbeDelay{1000};
/// Keeps the doubled delay within the range of its type.
constexpr unsigned MaxProbeDelayDoublings = 10;

auto failuresOf(const contact::State &State) -> unsigned {
  return std::visit(
      Overloaded{[](const Unidentified &Now) { return Now.Failures; },
                 [](const Introduced &) { return 0U; },
                 [](const Answering &) { return 0U; },
                 [](const Silent &Now) { return Now.Failures; },
                 [](const Replaced &Now) { return Now.Failures; }},
      State);
}

} // namespace

/// Visits each pair of a state and an event. There is no case for any state or
/// any event, so that the compiler refuses a pair that was not decided.
class WorkerLife::Step {
public:
  explicit Step(const WorkerLife &Before) : Result{Before} {}

  auto take() -> Transition { return Result; }

  // An entry names a process.

  auto operator()(const Unidentified &, const EntrySeen &Seen) -> void {
    introduce(Seen);
  }
  auto operator()(const Introduced &Now, const EntrySeen &Seen) -> void {
    if (isNews(Now.Incarnation, Seen))
      introduce(Seen);
  }
  auto operator()(const Answering &Now, const EntrySeen &Seen) -> void {
    if (isNews(Now.Incarnation, Seen))
      replace(Now.Incarnation);
  }
  auto operator()(const Silent &Now, const EntrySeen &Seen) -> void {
    if (isNews(Now.Incarnation, Seen))
      replace(Now.Incarnation);
  }
  auto operator()(const Replaced &, const EntrySeen &) -> void {
    // The process that runs now has to say itself which one it is.
  }

  // The entry is removed. The process may run on and answer.

  auto operator()(const Unidentified &, const EntryRemoved &) -> void {}
  auto operator()(const Introduced &, const EntryRemoved &) -> void {}
  auto operator()(const Answering &, const EntryRemoved &) -> void {}
  auto operator()(const Silent &, const EntryRemoved &) -> void {}
  auto operator()(const Replaced &, const EntryRemoved &) -> void {}

  // A call is answered.

  auto operator()(const Unidentified &, const Answered &By) -> void {
    answer(0, By);
  }
  auto operator()(const Introduced &Now, const Answered &By) -> void {
    answer(Now.Incarnation, By);
  }
  auto operator()(const Answering &Now, const Answered &By) -> void {
    answer(Now.Incarnation, By);
  }
  auto operator()(const Silent &Now, const Answered &By) -> void {
    answer(Now.Incarnation, By);
  }
  auto operator()(const Replaced &Now, const Answered &By) -> void {
    answer(Now.Former, By);
  }

  // A call is not answered.

  auto operator()(const Unidentified &Now, const Unanswered &) -> void {
    Result.Next.State = Unidentified{Now.Failures + 1};
  }
  auto operator()(const Introduced &Now, const Unanswered &) -> void {
    Result.Next.State = Silent{Now.Incarnation, 1};
  }
  auto operator()(const Answering &Now, const Unanswered &) -> void {
    Result.Next.State = Silent{Now.Incarnation, 1};
  }
  auto operator()(const Silent &Now, const Unanswered &) -> void {
    Result.Next.State = Silent{Now.Incarnation, Now.Failures + 1};
  }
  auto operator()(const Replaced &Now, const Unanswered &) -> void {
    Result.Next.State = Replaced{Now.Former, Now.Failures + 1};
  }

  // An order found another process.

  auto operator()(const Unidentified &, const OtherProcessFound &) -> void {}
  auto operator()(const Introduced &Now, const OtherProcessFound &) -> void {
    replace(Now.Incarnation);
  }
  auto operator()(const Answering &Now, const OtherProcessFound &) -> void {
    replace(Now.Incarnation);
  }
  auto operator()(const Silent &Now, const OtherProcessFound &) -> void {
    replace(Now.Incarnation);
  }
  auto operator()(const Replaced &, const OtherProcessFound &) -> void {}

private:
  /// Returns whether an entry tells of another process than \p Present that is
  /// not its former one.
  auto isNews(std::int64_t Present, const EntrySeen &Seen) const -> bool {
    return Seen.Incarnation != 0 && Seen.Incarnation != Present &&
           Seen.Incarnation != Result.Next.Former;
  }

  auto introduce(const EntrySeen &Seen) -> void {
    if (Seen.Incarnation == 0)
      return;
    Result.Next.State = Introduced{Seen.Incarnation};
    Result.AskNow = true;
  }

  auto replace(std::int64_t Present) -> void {
    Result.Next.State = Replaced{Present, 0};
    Result.AskNow = true;
  }

  auto answer(std::int64_t Expected, const Answered &By) -> void {
    Result.Next.AnsweredBefore = true;
    Result.Next.State = Answering{By.Incarnation};
    if (By.Incarnation == Expected || Expected == 0)
      return;
    Result.Next.Former = Expected;
    Result.FormerEnded = true;
  }

  Transition Result;
};

auto WorkerLife::after(const Event &Seen) const -> Transition {
  Step Visitor(*this);
  std::visit(Visitor, State, Seen);
  auto Result = Visitor.take();
  std::visit(Overloaded{[&](const EntrySeen &) {
                          Result.Next.Registered = true;
                          Result.Next.ProcessThatLeft = 0;
                          // A worker that returns is asked without the delay
                          // that its silence before had grown to.
                          Result.AskNow |=
                              !Registered && !Result.Next.answers();
                        },
                        [&](const EntryRemoved &Removed) {
                          Result.Next.Registered = false;
                          Result.Next.ProcessThatLeft =
                              Removed.LeftAfterDrain ? Removed.Incarnation : 0;
                        },
                        [](const Answered &) {}, [](const Unanswered &) {},
                        [](const OtherProcessFound &) {}},
             Seen);
  Result.NewIncarnation =
      incarnation() != 0 && Result.Next.incarnation() != incarnation();
  return Result;
}

auto WorkerLife::incarnation() const -> std::int64_t {
  return std::visit(
      Overloaded{[](const Unidentified &) { return std::int64_t{0}; },
                 [](const Introduced &Now) { return Now.Incarnation; },
                 [](const Answering &Now) { return Now.Incarnation; },
                 [](const Silent &Now) { return Now.Incarnation; },
                 [](const Replaced &Now) { return Now.Former; }},
      State);
}

auto WorkerLife::answers() const -> bool {
  return std::holds_alternative<Answering>(State);
}

auto WorkerLife::isSilent() const -> bool { return failuresOf(State) > 0; }

auto WorkerLife::mayBeGranted() const -> bool {
  return std::visit(Overloaded{[](const Unidentified &) { return false; },
                               [](const Introduced &) { return true; },
                               [](const Answering &) { return true; },
                               [](const Silent &) { return false; },
                               [](const Replaced &) { return false; }},
                    State);
}

auto WorkerLife::mustBeAsked() const -> bool {
  return Registered && !answers();
}

auto WorkerLife::probeDelay(Milliseconds Shortest) const -> Milliseconds {
  const auto Doublings = std::min(failuresOf(State), MaxProbeDelayDoublings);
  return std::min(Shortest * (1 << Doublings), MaxProbeDelay);
}

auto WorkerLife::evidenceAgainstRuns(bool LeasesOver) const
    -> std::optional<RunOverEvidence> {
  const auto Expired =
      LeasesOver ? std::optional(RunOverEvidence::LeaseExpired) : std::nullopt;
  // The removal of an entry tells nothing of the runs of a later process.
  // Before the first answer, an earlier owner may have started runs on such a
  // process.
  const bool HasLeft = AnsweredBefore && ProcessThatLeft != 0 &&
                       ProcessThatLeft == incarnation();
  const auto Unreached =
      HasLeft ? std::optional(RunOverEvidence::WorkerLeft) : Expired;
  return std::visit(
      Overloaded{
          [&](const Unidentified &) { return Expired; },
          [&](const Introduced &) { return std::optional<RunOverEvidence>(); },
          [&](const Answering &) { return std::optional<RunOverEvidence>(); },
          [&](const Silent &) { return Unreached; },
          [&](const Replaced &) { return Expired; }},
      State);
}

} // namespace jayramp::shard
