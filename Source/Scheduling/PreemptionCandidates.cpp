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
    for (const auto &Id : Workers[WorkerIndex]->Runs) {
      const auto *LiveRun = Scheduler.run(Id);
      const auto *Job = Scheduler.job(Id.Job);
      if (!LiveRun || !Job || LiveRun->Phase == RunPhase::Stopping ||
          Job->Progress.Steps[Id.Step][Id.Index].Done)
        continue;
      Candidates.push_back({Id, Job->Spec.Steps[Id.Step].Need, costOf(Id),
                            Job->Spec.Priority, Job->Guaranteed});
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

auto PreemptionCandidates::costOf(const RunId &Candidate) const -> double {
  double Cost = 0;
  for (const auto &Id : gangOf(Candidate)) {
    const auto &LiveRun = *Scheduler.run(Id);
    const auto &Spec = Scheduler.job(Id.Job)->Spec.Steps[Id.Step];
    auto LostSeconds = seconds(Now - LiveRun.StartedAt);
    if (Spec.Checkpointing)
      LostSeconds = std::min(LostSeconds, MaxCheckpointedLossSeconds);
    Cost += LostSeconds * Spec.Need.coreEquivalents();
  }
  return Cost;
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
