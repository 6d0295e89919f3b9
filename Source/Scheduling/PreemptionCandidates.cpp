#include "Scheduling/PreemptionCandidates.h"

#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <tuple>

namespace jayramp::scheduling {

namespace {

/// Upper bound of the work time that a checkpointing run loses when it is
/// stopped. It accounts for restoring the checkpoint on another worker.
constexpr double MaxCheckpointedLossSeconds = 1.0;

auto seconds(TimePoint::duration Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

auto PreemptionCandidates::collect(
    const std::vector<const WorkerEntry *> &Workers) -> void {
  ByWorker.assign(Workers.size(), {});
  for (std::size_t WorkerIndex = 0; WorkerIndex < Workers.size();
       ++WorkerIndex) {
    auto &Candidates = ByWorker[WorkerIndex];
    for (const auto &[Id, LiveRun] : Workers[WorkerIndex]->Runs) {
      const auto &Job = *LiveRun->Job;
      if (LiveRun->Phase == RunPhase::Stopping ||
          Job.Progress.Steps[Id.Step][Id.Index].Done ||
          endsBeforeStop(*LiveRun))
        continue;
      Candidates.push_back({Id, Job.Spec.Steps[Id.Step].Need, costOf(*LiveRun),
                            Job.Spec.Priority, Job.Guaranteed});
    }
    std::sort(
        Candidates.begin(), Candidates.end(),
        [](const PreemptionCandidate &Left, const PreemptionCandidate &Right) {
          return std::tie(Left.Cost, Left.Id) < std::tie(Right.Cost, Right.Id);
        });
  }
}

auto PreemptionCandidates::remove(std::size_t WorkerIndex,
                                  const RunId &StoppedRun) -> void {
  std::erase_if(ByWorker[WorkerIndex],
                [&](const PreemptionCandidate &Candidate) {
                  return Candidate.Id == StoppedRun;
                });
}

auto PreemptionCandidates::endsBeforeStop(const Run &LiveRun) const -> bool {
  // Without progress that shows how long it takes, nothing is concluded.
  constexpr std::uint32_t MinPercent = 50;
  constexpr std::uint32_t CompletePercent = 100;
  const auto Percent = LiveRun.ProgressPercent;
  // A run that resumed from a checkpoint did not work for all of its percents.
  if (!Scheduler.knowsSpeeds() || !LiveRun.IsFresh || Percent < MinPercent ||
      Percent >= CompletePercent ||
      LiveRun.Job->Spec.Steps[LiveRun.Id.Step].Gang)
    return false;
  const auto WorkTime = LiveRun.LastProgressAt - LiveRun.StartedAt;
  const auto ExpectedEnd =
      LiveRun.StartedAt + WorkTime * CompletePercent / Percent;
  // Not a run that is overdue: its end cannot be foreseen.
  return ExpectedEnd >= Now &&
         ExpectedEnd <= Now + Scheduler.policy().ExpectedStopTime;
}

auto PreemptionCandidates::costOf(const Run &Candidate) -> double {
  const auto &Id = Candidate.Id;
  if (!Candidate.Job->Spec.Steps[Id.Step].Gang)
    return ownCost(Candidate);
  const auto [Known, IsNew] =
      GangCosts.try_emplace({Candidate.Job, Id.Step, Id.Run}, 0);
  if (IsNew)
    for (const auto &Member : gangOf(Id))
      Known->second += ownCost(*Scheduler.run(Member));
  return Known->second;
}

auto PreemptionCandidates::ownCost(const Run &LiveRun) const -> double {
  const auto &Spec = LiveRun.Job->Spec.Steps[LiveRun.Id.Step];
  auto LostSeconds = seconds(Now - LiveRun.StartedAt);
  if (Spec.Checkpointing)
    LostSeconds = std::min(LostSeconds, MaxCheckpointedLossSeconds);
  return LostSeconds * Spec.Need.coreEquivalents();
}

auto PreemptionCandidates::gangOf(const RunId &Member) const
    -> std::vector<RunId> {
  const auto &Step = Scheduler.job(Member.Job)->Spec.Steps[Member.Step];
  if (!Step.Gang)
    return {Member};
  std::vector<RunId> Members;
  for (std::uint32_t Index = 0; Index < Step.Count; ++Index) {
    const RunId Id{Member.Job, Member.Step, Index, Member.Run};
    if (Scheduler.run(Id))
      Members.push_back(Id);
  }
  return Members;
}

} // namespace jayramp::scheduling
