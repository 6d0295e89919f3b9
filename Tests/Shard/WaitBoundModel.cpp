#include "WaitBoundModel.h"

#include "Scheduling/PoolUse.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>

namespace jayramp::scheduling {

namespace {

constexpr std::int64_t StepMs = 100;
constexpr std::int64_t FaultsEndMs = 20000;
constexpr std::int64_t PlayEndsMs = 80000;
/// Accelerators are kept free for urgent arrivals so long after the last one,
/// the longest of the bounds that the reasons to wait have in an idle pool.
constexpr std::int64_t LongestBoundMs = 3000;
/// No task may wait longer beside room.
constexpr std::int64_t LongestWaitMs = 3000;
constexpr std::int64_t QuarantineWaitMs = 1500;
constexpr std::int64_t LeaseMs = 5200;
constexpr std::int64_t StopMs = 300;
constexpr std::int64_t GangTimeoutMs = 3000;
constexpr std::int64_t UnansweredStartMs = 2500;
constexpr double MaxPoolUse = 0.5;
constexpr std::int64_t MostUrgent = 0;
constexpr int CalmArrivalDivisor = 4;

const auto Begin = TimePoint(std::chrono::hours(1));

auto msSince(TimePoint Time) -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(Time - Begin).count();
}

} // namespace

WaitBoundModel::WaitBoundModel(std::uint64_t Seed, Afterwards End)
    : End(End), Random(Seed) {
  addWorkers();
  ArrivalPercent = static_cast<int>(number(10, 60));
}

auto WaitBoundModel::play() -> void {
  for (; NowMs < PlayEndsMs && FirstViolation.empty(); NowMs += StepMs) {
    if (NowMs < FaultsEndMs) {
      if (happens(ArrivalPercent))
        submitJob(MostUrgent);
      if (happens(30))
        disturb();
      endConditions();
    } else if (NowMs == FaultsEndMs) {
      endFaults();
    } else if (happens(ArrivalPercent / CalmArrivalDivisor)) {
      // Urgent arrivals would keep accelerators free for further ones.
      submitJob(MostUrgent + 1);
    }
    Scheduler.schedule(now());
    Placed += Scheduler.takePlacementDecisions().size();
    advanceRuns();
    if (NowMs >= FaultsEndMs + LongestBoundMs)
      checkWaits();
  }
}

auto WaitBoundModel::finishedCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      Scheduler.jobs().begin(), Scheduler.jobs().end(),
      [](const auto &Each) { return isFinal(Each.second.Progress.State); }));
}

auto WaitBoundModel::number(std::int64_t Low, std::int64_t High)
    -> std::int64_t {
  return std::uniform_int_distribution<std::int64_t>(Low, High)(Random);
}

auto WaitBoundModel::addWorkers() -> void {
  const auto Racks = number(2, 4);
  const auto PerRack = number(3, 6);
  std::map<std::string, double> Factors;
  const bool AreSpeedsKnown = happens(30);
  for (std::int64_t Rack = 0; Rack < Racks; ++Rack)
    for (std::int64_t Number = 0; Number < PerRack; ++Number) {
      WorkerReport Report;
      Report.Id = "w" + std::to_string(Rack) + std::to_string(Number);
      Report.Service = "pool";
      Report.Address = Report.Id;
      Report.Rack = "r" + std::to_string(Rack);
      Report.Zone = "z" + std::to_string(Rack % 2);
      Report.Labels = {Report.Rack, Report.Zone};
      Report.Capacity = {64000, 128000, happens(80) ? 8 : 4};
      Report.Incarnation = NextIncarnation++;
      Scheduler.updateWorker(Report, now());
      Factors[Report.Id] = happens(70) ? 1.0 : 2.5;
      Workers[Report.Id].Report = std::move(Report);
    }
  if (AreSpeedsKnown)
    Scheduler.setTimeFactors(std::move(Factors));
}

auto WaitBoundModel::submitJob(std::int64_t HighestPriority) -> void {
  JobSpec Job;
  Job.Id = "j" + std::to_string(JobCount++);
  Job.Queue = "queue";
  Job.Service = "pool";
  Job.Tenant = "t" + std::to_string(number(0, 2));
  Job.Priority = static_cast<std::uint32_t>(number(HighestPriority, 2));
  Job.MaxAttempts = 3;
  Job.Stretch = 3;
  Job.TargetLatency = Milliseconds(1000);
  const auto WorkMs = number(200, 4000);
  const auto Steps = number(1, 3);
  for (std::int64_t Step = 0; Step < Steps; ++Step) {
    StepSpec Spec;
    Spec.Count = static_cast<std::uint32_t>(happens(50) ? 1 : number(2, 8));
    constexpr std::array<std::int64_t, 5> Gpus = {0, 1, 2, 4, 8};
    Spec.Need = {number(500, 16000), 1000,
                 Gpus[static_cast<std::size_t>(number(0, 4))]};
    // Callers estimate badly.
    Spec.Estimate = Milliseconds(WorkMs * number(1, 40) / 10);
    Spec.Gang = happens(40);
    Spec.SameRack = happens(40);
    if (happens(20))
      Spec.MaxPerWorker = static_cast<std::uint32_t>(number(1, 2));
    if (happens(10))
      Spec.RequiredLabel = "z" + std::to_string(number(0, 1));
    if (happens(20))
      Spec.DataRack = "r" + std::to_string(number(0, 1));
    if (Step > 0)
      Spec.After = {static_cast<std::uint32_t>(Step - 1)};
    Job.Steps.push_back(std::move(Spec));
  }
  const auto Kind = number(0, 99);
  Kinds[Job.Id] = {Kind < 6    ? Behavior::Hanging
                   : Kind < 14 ? Behavior::Failing
                               : Behavior::Normal,
                   WorkMs};
  Scheduler.addJob(std::move(Job), {}, now());
}

auto WaitBoundModel::disturb() -> void {
  if (happens(5)) {
    // Many workers at once, as when a zone is cut off.
    const auto Zone = "z" + std::to_string(number(0, 1));
    const auto ForMs = number(600, 9000);
    const auto Next =
        happens(70) ? Condition::Silent : Condition::RefusesStarts;
    for (auto &[Id, Each] : Workers)
      if (Each.Report.Zone == Zone && happens(80))
        setCondition(Each, Next, ForMs);
    return;
  }
  if (happens(5)) {
    ClosedZones.clear();
    if (happens(50))
      ClosedZones.insert("z" + std::to_string(number(0, 1)));
    Scheduler.setClosedZones(ClosedZones);
    return;
  }
  auto &Target =
      std::next(Workers.begin(),
                number(0, static_cast<std::int64_t>(Workers.size()) - 1))
          ->second;
  setCondition(Target, static_cast<Condition>(number(1, 7)), number(300, 9000));
}

auto WaitBoundModel::setCondition(Worker &Target, Condition Next,
                                  std::int64_t ForMs) -> void {
  const auto &Id = Target.Report.Id;
  if (Target.Now == Condition::Gone && Next != Condition::Gone) {
    Target.Report.Draining = false;
    Target.Report.Incarnation = NextIncarnation++;
    Scheduler.updateWorker(Target.Report, now());
  }
  if (Next == Condition::Gone && Target.Now != Condition::Gone) {
    // The worker leaves after a drain, or crashes.
    if (happens(50)) {
      auto Report = Target.Report;
      Report.Draining = true;
      Report.Remaining = Milliseconds(1000);
      Scheduler.updateWorker(Report, now());
    }
    for (const auto &[RunId, LiveRun] : std::map(Scheduler.runs()))
      if (LiveRun.Worker == Id)
        Scheduler.runLost(RunId, now());
    Scheduler.unregisterWorker(Id);
  }
  if (Next == Condition::Silent && Target.Now != Condition::Silent)
    Target.SilentSinceMs = NowMs;
  Target.Now = Next;
  Target.UntilMs = NowMs + ForMs;
  Scheduler.setReachable(Id, Next != Condition::Silent);
}

auto WaitBoundModel::endConditions() -> void {
  for (auto &[Id, Each] : Workers)
    if (Each.Now != Condition::Sound && NowMs >= Each.UntilMs)
      setCondition(Each, Condition::Sound, 0);
}

auto WaitBoundModel::endFaults() -> void {
  Scheduler.setClosedZones({});
  std::map<std::string, std::int64_t> MostFaulty; ///< By zone.
  for (auto &[Id, Each] : Workers) {
    setCondition(Each, Condition::Sound, 0);
    ++MostFaulty[Each.Report.Zone];
  }
  if (End != Afterwards::SomeFaulty)
    return;
  for (auto &[Zone, Count] : MostFaulty)
    Count /= 4;
  for (auto &[Id, Each] : Workers) {
    auto &Left = MostFaulty[Each.Report.Zone];
    if (Left == 0 || !happens(30))
      continue;
    --Left;
    Each.IsFaultyForEver = true;
    Each.Now = static_cast<Condition>(number(1, 5));
  }
}

auto WaitBoundModel::advanceRuns() -> void {
  for (const auto &[Id, LiveRun] : std::map(Scheduler.runs()))
    // The end of one run may have ended others.
    if (const auto *Current = Scheduler.run(Id))
      advanceRun(Id, Workers.at(Current->Worker));
  std::erase_if(
      Runs, [this](const auto &Item) { return !Scheduler.run(Item.first); });
}

auto WaitBoundModel::advanceRun(const RunId &Id, Worker &On) -> void {
  const auto LiveRun = *Scheduler.run(Id);
  auto &State = Runs[Id];
  if (On.Now == Condition::Silent) {
    if (LiveRun.Phase == RunPhase::Assigned &&
        msSince(LiveRun.AssignedAt) >= On.SilentSinceMs)
      Scheduler.runUnsent(Id, true, now());
    else if (NowMs - On.SilentSinceMs >= LeaseMs)
      Scheduler.runLost(Id, now());
    return;
  }
  switch (LiveRun.Phase) {
  case RunPhase::Assigned:
    if (now() > LiveRun.AssignedAt)
      advanceAssigned(LiveRun, On);
    return;
  case RunPhase::Started:
    advanceStarted(LiveRun, On);
    return;
  case RunPhase::Stopping:
    if (State.StoppingSinceMs < 0)
      State.StoppingSinceMs = NowMs;
    if (NowMs - State.StoppingSinceMs >= StopMs)
      Scheduler.runEnded(Id, RunOutcome::Stopped, {}, now());
    return;
  }
}

auto WaitBoundModel::advanceAssigned(const Run &LiveRun, const Worker &On)
    -> void {
  const auto &Id = LiveRun.Id;
  switch (On.Now) {
  case Condition::RefusesStarts:
    Scheduler.recordStartRefused(LiveRun.Worker, now());
    Scheduler.runLost(Id, now());
    return;
  case Condition::CannotBeSent:
    Scheduler.runUnsent(Id, true, now());
    return;
  case Condition::AnswersNoStart:
    Scheduler.runStartSent(Id);
    if (NowMs - msSince(LiveRun.AssignedAt) < UnansweredStartMs)
      return;
    Scheduler.recordStartRefused(LiveRun.Worker, now());
    Scheduler.stopRun(Id, StopReason::StartRefused);
    return;
  default:
    Scheduler.runStartSent(Id);
    Scheduler.runStarted(Id, now());
    WaitingSinceMs.erase({Id.Job, Id.Step});
  }
}

auto WaitBoundModel::advanceStarted(const Run &LiveRun, const Worker &On)
    -> void {
  const auto &Id = LiveRun.Id;
  auto &State = Runs[Id];
  const auto &Kind = Kinds.at(Id.Job);
  if (LiveRun.Job->Spec.Steps[Id.Step].Gang && !isGangComplete(Id)) {
    State.WorkingSinceMs = -1;
    if (NowMs - msSince(LiveRun.StartedAt) >= GangTimeoutMs)
      Scheduler.runEnded(Id, RunOutcome::GangIncomplete, {}, now());
    else
      Scheduler.runProgressed(Id, 0, {}, now());
    return;
  }
  if (State.WorkingSinceMs < 0)
    State.WorkingSinceMs = NowMs;
  const auto WorkedMs = NowMs - State.WorkingSinceMs;
  if (Kind.Tasks == Behavior::Failing || On.Now == Condition::FailsTasks) {
    if (WorkedMs >= Kind.WorkMs / 4)
      Scheduler.runEnded(Id, RunOutcome::Failed, {}, now());
    return;
  }
  if (Kind.Tasks == Behavior::Hanging || On.Now == Condition::HangsTasks) {
    Scheduler.runProgressed(Id, 0, {}, now());
    return;
  }
  if (WorkedMs >= Kind.WorkMs)
    Scheduler.runEnded(Id, RunOutcome::Succeeded, {}, now());
  else
    Scheduler.runProgressed(
        Id, static_cast<std::uint32_t>(WorkedMs * 100 / Kind.WorkMs), {},
        now());
}

auto WaitBoundModel::isGangComplete(const RunId &Member) const -> bool {
  const auto &Step = Scheduler.job(Member.Job)->Spec.Steps[Member.Step];
  for (std::uint32_t Index = 0; Index < Step.Count; ++Index) {
    const auto *Other =
        Scheduler.run({Member.Job, Member.Step, Index, Member.Run});
    if ((!Other || Other->Phase != RunPhase::Started) &&
        !Scheduler.job(Member.Job)->Progress.Steps[Member.Step][Index].Done)
      return false;
  }
  return true;
}

auto WaitBoundModel::checkWaits() -> void {
  std::map<WaitingStep, std::int64_t> Waiting;
  const bool IsIdle = poolUse() < MaxPoolUse;
  for (const auto &[Id, Job] : Scheduler.jobs()) {
    if (!IsIdle || isFinal(Job.Progress.State))
      continue;
    for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
      if (!Job.isReady(Step) || !hasTaskThatHasNotStarted(Job, Step))
        continue;
      const auto &Spec = Job.Spec.Steps[Step];
      if (soundRoom(Job, Step) < (Spec.Gang ? Spec.Count : 1U) * 2)
        continue;
      const auto Known = WaitingSinceMs.find({Id, Step});
      const bool IsNew = Known == WaitingSinceMs.end();
      const auto Since = IsNew ? NowMs : Known->second;
      Waits += IsNew ? 1 : 0;
      Waiting[{Id, Step}] = Since;
      if (NowMs - Since > longestWaitMs() && FirstViolation.empty())
        FirstViolation = describe(Job, Step);
    }
  }
  WaitingSinceMs = std::move(Waiting);
}

auto WaitBoundModel::longestWaitMs() const -> std::int64_t {
  // A task may first wait while most workers are quarantined, and then be
  // placed on a worker that does not start it.
  return LongestWaitMs + (End == Afterwards::SomeFaulty
                              ? QuarantineWaitMs + UnansweredStartMs + StopMs
                              : 0);
}

auto WaitBoundModel::hasTaskThatHasNotStarted(const JobEntry &Job,
                                              std::uint32_t Step) const
    -> bool {
  // A placement alone does not end a wait.
  const auto &Tasks = Job.Progress.Steps[Step];
  for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
    const auto *LiveRun =
        Scheduler.run({Job.Spec.Id, Step, Index, Tasks[Index].LastRunNumber});
    if (!Tasks[Index].Done &&
        (!LiveRun || LiveRun->Phase == RunPhase::Assigned))
      return true;
  }
  return false;
}

auto WaitBoundModel::poolUse() const -> double {
  return scheduling::poolUse(Scheduler.workers(), "pool");
}

auto WaitBoundModel::soundRoom(const JobEntry &Job, std::uint32_t Step) const
    -> std::uint64_t {
  const TaskGroup Group{const_cast<JobEntry *>(&Job), Step};
  std::uint64_t Count = 0;
  for (const auto &[Id, Each] : Workers) {
    const auto *Entry = Scheduler.worker(Id);
    if (Each.IsFaultyForEver || !Entry || !Entry->isOpen() ||
        !Group.mayRunOn(*Entry))
      continue;
    auto Free = Entry->Report.Capacity;
    Free -= Entry->Used;
    Count += std::min(Free.maxTaskCount(Job.Spec.Steps[Step].Need),
                      Group.remainingWorkerLimit(*Entry));
  }
  return Count;
}

auto WaitBoundModel::describe(const JobEntry &Job, std::uint32_t Step) const
    -> std::string {
  const auto &Spec = Job.Spec.Steps[Step];
  std::ostringstream Text;
  Text << "at " << NowMs << " ms: " << Job.Spec.Id << " step " << Step
       << " priority " << Job.Spec.Priority << " tasks " << Spec.Count
       << (Spec.Gang ? " gang" : "") << (Spec.SameRack ? " same-rack" : "")
       << " gpus " << Spec.Need.Gpus << " cpu " << Spec.Need.CpuMillis
       << " per-worker " << Spec.MaxPerWorker << " label " << Spec.RequiredLabel
       << " waiting " << Job.waitingTasks(Step) << " room "
       << soundRoom(Job, Step) << " pool-use " << poolUse() << " reason "
       << (Job.waitReason(Step) ? toString(*Job.waitReason(Step)) : "none")
       << " behavior " << static_cast<int>(Kinds.at(Job.Spec.Id).Tasks);
  for (const auto &[Id, Each] : Workers) {
    const auto *Entry = Scheduler.worker(Id);
    Text << "\n  " << Id << " condition " << static_cast<int>(Each.Now);
    if (Entry)
      Text << " runs " << Entry->Runs.size() << " quarantine-ms "
           << msSince(Entry->QuarantinedUntil) - NowMs << " failed-jobs "
           << Entry->FailedJobs.size() << " doubtful "
           << Entry->isDoubtful(now()) << " free-gpus "
           << Entry->Report.Capacity.Gpus - Entry->Used.Gpus;
  }
  return Text.str();
}

auto WaitBoundModel::now() const -> TimePoint {
  return Begin + Milliseconds(NowMs);
}

} // namespace jayramp::scheduling
