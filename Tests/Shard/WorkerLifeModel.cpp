#include "WorkerLifeModel.h"

#include <utility>
#include <variant>

namespace jayramp::test {

using shard::RunOverEvidence;
using shard::WorkerLife;
using namespace shard::life_event;

namespace {

constexpr Milliseconds ShortestProbeDelay{100};
constexpr Milliseconds LongestProbeDelay{1000};

auto bitOf(std::int64_t Process) -> unsigned { return 1U << Process; }

} // namespace

auto toString(LifeStep Step) -> std::string_view {
  switch (Step) {
  case LifeStep::WorkerRestarts:
    return "worker restarts";
  case LifeStep::WorkerDrainsAndRestarts:
    return "worker drains and restarts";
  case LifeStep::WorkerReceivesCall:
    return "worker receives call";
  case LifeStep::CallIsAnswered:
    return "call is answered";
  case LifeStep::CallIsUnanswered:
    return "call is unanswered";
  case LifeStep::LateReplyArrives:
    return "late reply arrives";
  case LifeStep::EntryOfPredecessorProcessSeen:
    return "entry of predecessor process seen";
  case LifeStep::EntryOfFormerProcessSeen:
    return "entry of former process seen";
  case LifeStep::EntryOfPresentProcessSeen:
    return "entry of present process seen";
  case LifeStep::EntryWithoutIncarnationSeen:
    return "entry without incarnation seen";
  case LifeStep::EntryExpires:
    return "entry expires";
  case LifeStep::EntryOfProcessThatLeftRemoved:
    return "entry of process that left removed";
  case LifeStep::LeasesExpire:
    return "leases expire";
  case LifeStep::TaskPlaced:
    return "task placed";
  case LifeStep::StartSent:
    return "start sent";
  case LifeStep::StartAnswered:
    return "start answered";
  case LifeStep::StartUnanswered:
    return "start unanswered";
  case LifeStep::StartArrivesLate:
    return "start arrives late";
  case LifeStep::Count:
    break;
  }
  return "";
}

WorkerLifeModel::WorkerLifeModel(LifeFault Fault, bool HasRunOfPredecessor)
    : Fault(Fault) {
  ProcessesThatLeft = bitOf(PredecessorProcess);
  if (!HasRunOfPredecessor)
    return;
  Runner = Present;
  HasRun = RunIsRecovered = true;
  LeasesOver = false;
}

auto WorkerLifeModel::execute(LifeStep Step) -> bool {
  ConcludedBy.reset();
  switch (Step) {
  case LifeStep::WorkerRestarts:
    if (Present == LastProcess)
      return false;
    restart();
    break;
  case LifeStep::WorkerDrainsAndRestarts:
    if (Present == LastProcess)
      return false;
    ProcessesThatLeft |= bitOf(Present);
    restart();
    break;
  case LifeStep::WorkerReceivesCall:
    if (!CallInFlight || ReplyInNetwork)
      return false;
    ReplyInNetwork = Reply{Present, Runner == Present};
    break;
  case LifeStep::CallIsAnswered:
    if (!ReplyInNetwork)
      return false;
    answerCall();
    break;
  case LifeStep::CallIsUnanswered:
    if (!CallInFlight)
      return false;
    CallInFlight = false;
    ReplyInNetwork.reset();
    Trusted = NoProcess;
    learn(Unanswered{});
    break;
  case LifeStep::LateReplyArrives:
    if (Fault != LifeFault::HandleLateReplies || !LateReply)
      return false;
    handleReply(*LateReply);
    LateReply.reset();
    break;
  case LifeStep::EntryOfPredecessorProcessSeen:
    seeEntry(PredecessorProcess);
    break;
  case LifeStep::EntryOfFormerProcessSeen:
    seeEntry(Present - 1);
    break;
  case LifeStep::EntryOfPresentProcessSeen:
    seeEntry(Present);
    break;
  case LifeStep::EntryWithoutIncarnationSeen:
    seeEntry(NoProcess);
    break;
  case LifeStep::EntryExpires:
    if (!Registered)
      return false;
    Registered = false;
    learn(EntryRemoved{EntryOf, false});
    break;
  case LifeStep::EntryOfProcessThatLeftRemoved:
    if (!Registered || !(ProcessesThatLeft & bitOf(EntryOf)))
      return false;
    Registered = false;
    learn(EntryRemoved{EntryOf, true});
    break;
  case LifeStep::LeasesExpire:
    if (LeasesOver)
      return false;
    LeasesOver = true;
    Runner = NoProcess;
    StartsInNetwork = 0;
    break;
  case LifeStep::TaskPlaced:
    if (HasRun || !Life.mayReceiveTasks())
      return false;
    HasRun = true;
    RunIsRecovered = StartUnanswered = false;
    break;
  case LifeStep::StartSent:
    if (!HasRun || StartInFlightTo != NoProcess || !Life.mayBeGranted() ||
        (RunIsRecovered && !Life.hasAnswered()))
      return false;
    sendStart();
    break;
  case LifeStep::StartAnswered:
    if (StartInFlightTo == NoProcess)
      return false;
    answerStart();
    break;
  case LifeStep::StartUnanswered:
    if (StartInFlightTo == NoProcess)
      return false;
    StartInFlightTo = NoProcess;
    StartUnanswered = true;
    break;
  case LifeStep::StartArrivesLate:
    if (StartInFlightTo != NoProcess || !receiveStart(Present))
      return false;
    break;
  case LifeStep::Count:
    return false;
  }
  checkLeases();
  if ((HasRun || Life.mustBeAsked()) && !CallInFlight) {
    CallInFlight = true;
    if (HasRun && Life.mayBeGranted())
      LeasesOver = false;
  }
  require(HasRun || Runner == NoProcess,
          "a run was concluded while a process may run it");
  checkLife();
  checkReturn();
  return true;
}

auto WorkerLifeModel::restart() -> void {
  ++Present;
  Runner = NoProcess;
}

auto WorkerLifeModel::mayArrive(Process Target) const -> bool {
  return Fault == LifeFault::StartsReachAnyProcess
             ? StartsInNetwork != 0
             : StartsInNetwork & bitOf(Target);
}

auto WorkerLifeModel::receiveStart(Process Target) -> bool {
  if (!mayArrive(Target))
    return false;
  StartsInNetwork = Fault == LifeFault::StartsReachAnyProcess
                        ? 0
                        : StartsInNetwork & ~bitOf(Target);
  Runner = Present;
  return true;
}

auto WorkerLifeModel::sendStart() -> void {
  require(Trusted == Life.incarnation() || RunIsRecovered,
          "a start was sent to a process that has not answered the last call");
  StartInFlightTo = Life.incarnation();
  StartsInNetwork |= bitOf(StartInFlightTo);
  LeasesOver = false;
}

auto WorkerLifeModel::answerStart() -> void {
  const auto Target = std::exchange(StartInFlightTo, NoProcess);
  if (Fault == LifeFault::StartsReachAnyProcess || Target == Present) {
    receiveStart(Target);
    return;
  }
  StartsInNetwork &= ~bitOf(Target);
  Trusted = NoProcess;
  learn(OtherProcessFound{});
  if (HasRun && !StartUnanswered && !RunIsRecovered)
    conclude(RunOverEvidence::StartRefused);
}

auto WorkerLifeModel::answerCall() -> void {
  const auto Answer = *ReplyInNetwork;
  ReplyInNetwork.reset();
  CallInFlight = false;
  handleReply(Answer);
  // The worker has listed the end of the run.
  if (HasRun && Answer.From == Present && !Answer.ListsRun &&
      Runner == NoProcess && StartsInNetwork == 0 &&
      StartInFlightTo == NoProcess)
    HasRun = false;
}

auto WorkerLifeModel::handleReply(const Reply &Answer) -> void {
  Trusted = Answer.From;
  if (LastTrusted != Trusted)
    Superseded = std::exchange(LastTrusted, Trusted);
  const bool FormerEnded = learn(Answered{Answer.From});
  if (FormerEnded && HasRun && !Answer.ListsRun)
    conclude(RunOverEvidence::NewIncarnation);
}

auto WorkerLifeModel::seeEntry(Process Named) -> void {
  const auto Before = Life;
  EntryOf = Named;
  Registered = true;
  if (Named > Trusted)
    Trusted = NoProcess;
  learn(EntrySeen{Named});
  if (Named != NoProcess && Named == Superseded && Before.answers())
    require(Life.answers(), "a late entry of the former process took the "
                            "worker out of use");
  if (Named != NoProcess && Named < Trusted && !Life.answers())
    Trusted = NoProcess;
}

auto WorkerLifeModel::learn(const Event &Seen) -> bool {
  const auto Before = Life;
  const auto Result = Life.after(Seen);
  Life = Result.Next;
  if (Result.AskNow) {
    LateReply = ReplyInNetwork;
    ReplyInNetwork.reset();
    CallInFlight = false;
  }
  const bool IsUnanswered = std::holds_alternative<Unanswered>(Seen);
  if (Before.answers() && !Life.answers() && !IsUnanswered)
    require(Result.AskNow, "a worker whose process is in doubt is not asked "
                           "at once");
  if (!Before.isRegistered() && Life.mustBeAsked())
    require(Result.AskNow, "a worker that returns is not asked at once");
  if (IsUnanswered)
    require(Life.probeDelay(ShortestProbeDelay) >=
                Before.probeDelay(ShortestProbeDelay),
            "the delay of the next call shrinks without an answer");
  return Result.FormerEnded;
}

auto WorkerLifeModel::conclude(RunOverEvidence Evidence) -> void {
  require(Runner == NoProcess && !mayArrive(Present),
          "a run was concluded while a process may run it");
  HasRun = false;
  StartInFlightTo = NoProcess;
  ConcludedBy = Evidence;
}

auto WorkerLifeModel::checkLeases() -> void {
  if (!HasRun || StartInFlightTo != NoProcess)
    return;
  if (const auto Evidence = Life.evidenceAgainstRuns(LeasesOver))
    conclude(*Evidence);
}

auto WorkerLifeModel::checkLife() -> void {
  require(Life.isRegistered() == Registered,
          "the owner errs on whether the worker is registered");
  require(Life.answers() == (Trusted != NoProcess),
          "the owner errs on whether the present process answered");
  require(!Life.answers() || Life.incarnation() == Trusted,
          "the owner takes another process for the one that answered");
  require(!Life.mayReceiveTasks() ||
              (Registered && Life.answers() && Life.mayBeGranted() &&
               Life.incarnation() != NoProcess),
          "tasks may be placed in a state that permits no start");
  require(!Life.mayBeGranted() ||
              (Life.incarnation() != NoProcess && !Life.isSilent()),
          "grants for a process that is unknown or silent");
  require(!Registered || Life.answers() || Life.mustBeAsked(),
          "a registered worker that does not answer is not asked");
  const auto Delay = Life.probeDelay(ShortestProbeDelay);
  require(Delay >= ShortestProbeDelay && Delay <= LongestProbeDelay,
          "the next call comes too early or too late");
}

auto WorkerLifeModel::checkReturn() -> void {
  auto Seen = Life.after(EntrySeen{Present}).Next;
  if (Seen.mustBeAsked())
    Seen = Seen.after(Answered{Present}).Next;
  require(Seen.mayReceiveTasks() && Seen.incarnation() == Present,
          "a worker that registers and answers is not used");
}

auto WorkerLifeModel::require(bool Holds, std::string_view Otherwise) -> void {
  if (!Holds && Violation.empty())
    Violation = Otherwise;
}

auto WorkerLifeModel::hash() const -> std::size_t {
  std::size_t Result = 0;
  const auto Add = [&Result](std::size_t Value) {
    Result = (Result ^ Value) * 0x9E3779B97F4A7C15ULL;
    Result ^= Result >> 29;
  };
  Add(static_cast<std::size_t>(Present));
  Add(ProcessesThatLeft);
  Add(static_cast<std::size_t>(Runner));
  Add(StartsInNetwork);
  Add(ReplyInNetwork ? static_cast<std::size_t>(ReplyInNetwork->From) : 0);
  Add(static_cast<std::size_t>(StartInFlightTo));
  Add(static_cast<std::size_t>(EntryOf));
  Add(static_cast<std::size_t>(Trusted));
  Add(static_cast<std::size_t>(Superseded));
  Add(Life.state().index());
  Add(static_cast<std::size_t>(Life.incarnation()));
  Add(static_cast<std::size_t>(Life.probeDelay(ShortestProbeDelay).count()));
  Add((HasRun ? 1U : 0U) | (RunIsRecovered ? 2U : 0U) |
      (StartUnanswered ? 4U : 0U) | (LeasesOver ? 8U : 0U) |
      (Registered ? 16U : 0U) | (CallInFlight ? 32U : 0U));
  return Result;
}

} // namespace jayramp::test
