#include "WorkerLeaseModel.h"

#include <algorithm>

namespace jayramp::test {

using shard::RunOverEvidence;
using namespace shard::life_event;

namespace {

constexpr Milliseconds LeaseDuration{5000};
constexpr Milliseconds MaxLeaseDuration{10000};
constexpr Milliseconds ShortestProbeDelay{100};
constexpr Milliseconds LongestProbeDelay{1000};
/// A process that has run for long when the owner meets it.
constexpr std::int64_t LongUptimeMs = 1'000'000'000;
constexpr std::int64_t ClockErrorPermille = 20;
constexpr std::int64_t SlowClockPermille = 700;
constexpr std::size_t MaxMessagesInNetwork = 6;

auto startTimeMs(TimePoint Time) -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(Time.time_since_epoch())
      .count();
}

} // namespace

WorkerLeaseModel::WorkerLeaseModel(LeaseFault Fault)
    : Fault(Fault), Now(Milliseconds(1000)),
      Leases(LeaseDuration, MaxLeaseDuration, std::nullopt) {
  restart(0);
  Present.FirstReadingMs = LongUptimeMs;
  writeEntry();
}

auto WorkerLeaseModel::executeStep(std::uint32_t Choice) -> void {
  const auto Argument = Choice / 32;
  switch (Choice % 32) {
  case 0:
    restart(Argument);
    break;
  case 1:
    leave(Argument);
    break;
  case 2:
  case 3:
    writeEntry();
    break;
  case 4:
    seeEntry(Argument);
    break;
  case 5:
  case 6:
    seeEntry(0);
    break;
  case 7:
    removeEntry();
    break;
  case 8:
  case 9:
    receiveRenewal(Argument);
    break;
  case 10:
  case 11:
  case 12:
  case 13:
    receiveRenewal(0);
    break;
  case 14:
    deliverReply(Argument);
    break;
  case 15:
  case 16:
  case 17:
  case 18:
    deliverReply(0);
    break;
  case 19:
  case 20:
    giveUpRenewal();
    break;
  case 21:
    receiveStart(Argument);
    break;
  case 22:
  case 23:
    receiveStart(0);
    break;
  case 24:
  case 25:
    answerStart();
    break;
  default:
    advance(Argument);
    break;
  }
  placeOrStart();
  if (!AwaitedRenewal && Now >= AskNotBefore &&
      (OwnersRun != 0 || Life.mustBeAsked()))
    sendRenewal();
  check();
}

auto WorkerLeaseModel::clockMs() const -> std::int64_t {
  const auto Elapsed =
      std::chrono::duration_cast<Milliseconds>(Now - Present.StartedAt).count();
  return Present.FirstReadingMs + Elapsed * Present.SpeedPermille / 1000;
}

auto WorkerLeaseModel::restart(std::uint32_t Argument) -> void {
  Now += Milliseconds(1);
  Present = {startTimeMs(Now), Now, 1, 1000, false};
  const std::int64_t Slowest = Fault == LeaseFault::SlowClocks
                                   ? SlowClockPermille
                                   : 1000 - ClockErrorPermille;
  Present.SpeedPermille =
      Slowest + Argument % (1000 + ClockErrorPermille + 1 - Slowest);
  RunOnWorker = 0;
  LeaseUntilMs = 0;
}

auto WorkerLeaseModel::leave(std::uint32_t Argument) -> void {
  Present.HasLeft = true;
  writeEntry();
  restart(Argument);
}

auto WorkerLeaseModel::advance(std::uint32_t Argument) -> void {
  constexpr std::uint32_t LongestAdvanceMs = 1500;
  Now += Milliseconds(Argument % LongestAdvanceMs);
  if (RunOnWorker != 0 && clockMs() >= LeaseUntilMs)
    RunOnWorker = 0;
}

auto WorkerLeaseModel::writeEntry() -> void {
  Entries.push_back({Present.Incarnation, clockMs(), Present.HasLeft});
}

auto WorkerLeaseModel::seeEntry(std::uint32_t Argument) -> void {
  // The last one, or one of those before.
  const auto Age = Argument % Entries.size();
  VisibleEntry = Entries[Entries.size() - 1 - Age];
  learn(EntrySeen{VisibleEntry->Incarnation});
  if (Fault == LeaseFault::UseClockOfAnyEntry ||
      VisibleEntry->Incarnation == Life.incarnation())
    Leases.clock().recordReport(VisibleEntry->ClockMs, Now);
}

auto WorkerLeaseModel::removeEntry() -> void {
  if (!VisibleEntry)
    return;
  learn(
      EntryRemoved{VisibleEntry->Incarnation, VisibleEntry->OfProcessThatLeft});
  VisibleEntry.reset();
}

auto WorkerLeaseModel::sendRenewal() -> void {
  Renewal Order;
  Order.Number = ++LastRenewalNumber;
  if (Life.mayBeGranted() && Leases.canGrant()) {
    Order.Target = Life.incarnation();
    if (OwnersRun != 0)
      Order.LeaseEndMs = Leases.grant(Now);
  }
  AwaitedRenewal = Order.Number;
  if (RenewalsInNetwork.size() == MaxMessagesInNetwork)
    RenewalsInNetwork.erase(RenewalsInNetwork.begin());
  RenewalsInNetwork.push_back(Order);
}

auto WorkerLeaseModel::receiveRenewal(std::uint32_t Argument) -> void {
  if (RenewalsInNetwork.empty())
    return;
  const auto Age = Argument % RenewalsInNetwork.size();
  auto &Order = RenewalsInNetwork[RenewalsInNetwork.size() - 1 - Age];
  if (Order.Reply)
    return;
  if (Order.Target == Present.Incarnation)
    extendLease(Order.LeaseEndMs);
  Order.Reply = RenewalReply{Present.Incarnation, clockMs(), RunOnWorker};
}

auto WorkerLeaseModel::deliverReply(std::uint32_t Argument) -> void {
  if (RenewalsInNetwork.empty())
    return;
  const auto Age = Argument % RenewalsInNetwork.size();
  const auto Position = RenewalsInNetwork.end() - 1 - Age;
  if (!Position->Reply)
    return;
  const auto Order = *Position;
  RenewalsInNetwork.erase(Position);
  if (Order.Number != AwaitedRenewal)
    return;
  AwaitedRenewal.reset();
  AskNotBefore = Now;
  const bool FormerEnded = learn(Answered{Order.Reply->Incarnation});
  if (FormerEnded && OwnersRun != 0 && Order.Reply->ListedRun != OwnersRun)
    conclude(RunOverEvidence::NewIncarnation);
  Leases.clock().recordAnswer(Order.Reply->ClockMs, Now);
}

auto WorkerLeaseModel::giveUpRenewal() -> void {
  if (!AwaitedRenewal)
    return;
  AwaitedRenewal.reset();
  learn(Unanswered{});
  AskNotBefore = Now + Life.probeDelay(ShortestProbeDelay);
}

auto WorkerLeaseModel::placeOrStart() -> void {
  if (OwnersRun == 0 && Life.mayReceiveTasks()) {
    OwnersRun = ++LastRun;
    StartUnanswered = false;
  }
  if (OwnersRun != 0 && !AwaitedStart && Life.mayBeGranted() &&
      Leases.canGrant() && RunOnWorker != OwnersRun)
    sendStart();
}

auto WorkerLeaseModel::sendStart() -> void {
  AwaitedStart = Start{Life.incarnation(), Leases.grant(Now), OwnersRun};
  if (StartsInNetwork.size() == MaxMessagesInNetwork)
    StartsInNetwork.erase(StartsInNetwork.begin());
  StartsInNetwork.push_back(*AwaitedStart);
  ++Starts;
}

auto WorkerLeaseModel::receiveStart(std::uint32_t Argument) -> void {
  if (StartsInNetwork.empty())
    return;
  const auto Age = Argument % StartsInNetwork.size();
  const auto Position = StartsInNetwork.end() - 1 - Age;
  const auto Order = *Position;
  StartsInNetwork.erase(Position);
  if (Fault != LeaseFault::StartsReachAnyProcess &&
      Order.Target != Present.Incarnation)
    return;
  if (clockMs() >= Order.LeaseEndMs)
    return;
  RunOnWorker = Order.Run;
  extendLease(Order.LeaseEndMs);
}

auto WorkerLeaseModel::answerStart() -> void {
  if (!AwaitedStart)
    return;
  const auto Order = *AwaitedStart;
  AwaitedStart.reset();
  StartUnanswered = true;
  if (Order.Run != OwnersRun || Order.Target == Present.Incarnation)
    return;
  const auto Count = std::erase_if(StartsInNetwork, [&](const Start &Each) {
    return Each.Run == Order.Run && Each.Target == Order.Target;
  });
  if (Count > 0)
    learn(OtherProcessFound{});
}

auto WorkerLeaseModel::extendLease(std::int64_t LeaseEndMs) -> void {
  const auto Longest = clockMs() + MaxLeaseDuration.count();
  LeaseUntilMs = std::max(LeaseUntilMs, std::min(LeaseEndMs, Longest));
}

auto WorkerLeaseModel::holdsLease() const -> bool {
  return RunOnWorker != 0 && clockMs() < LeaseUntilMs;
}

auto WorkerLeaseModel::learn(const Event &Seen) -> bool {
  const auto Before = Life.incarnation();
  const auto Result = Life.after(Seen);
  Life = Result.Next;
  if (Before != 0 && Life.incarnation() != Before)
    Leases.onNewIncarnation(Now);
  if (Result.AskNow) {
    Leases.clock().reset();
    AwaitedRenewal.reset();
    AskNotBefore = Now;
  }
  return Result.FormerEnded;
}

auto WorkerLeaseModel::conclude(RunOverEvidence Evidence) -> void {
  ++Conclusions[Evidence];
  require(!holdsLease() || RunOnWorker != OwnersRun,
          "a run was concluded while a process holds a lease for it");
  OwnersRun = 0;
  AwaitedStart.reset();
}

auto WorkerLeaseModel::check() -> void {
  const bool LeasesOver = Now > Leases.expireAt();
  require(!LeasesOver || !holdsLease(),
          "a lease is valid after the owner takes all for expired");
  if (OwnersRun != 0 && !AwaitedStart)
    if (const auto Evidence = Life.evidenceAgainstRuns(LeasesOver))
      conclude(*Evidence);
  require(!holdsLease() || RunOnWorker == OwnersRun,
          "a process runs a run that was concluded");
  require(!Life.mayReceiveTasks() || (Life.answers() && Life.mayBeGranted() &&
                                      Life.incarnation() != 0),
          "tasks may be placed in a state that permits no start");
  require(!Life.mayBeGranted() || (Life.incarnation() != 0 && !Life.isSilent()),
          "grants for a process that is unknown or silent");
  require(!Life.mustBeAsked() || AwaitedRenewal ||
              AskNotBefore <= Now + LongestProbeDelay,
          "a registered worker is not asked again in time");
  require(VisibleEntry.has_value() == Life.isRegistered(),
          "the owner errs on whether the worker is registered");
}

auto WorkerLeaseModel::require(bool Holds, std::string_view Otherwise) -> void {
  if (!Holds && FirstViolation.empty())
    FirstViolation = Otherwise;
}

} // namespace jayramp::test
