#include "Scheduling/PreemptionCandidates.h"

#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <tuple>

namespace jayramp::scheduling {

namespace {

/// Work of a run that has just been saved but must be restored elsewhere.
constexpr double SavedWorkSeconds = 1.0;

auto seconds(TimePoint::duration Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

auto PreemptionCandidates::collect(
    const std::vector<const WorkerEntry *> &Workers) -> void {
  ByWorker.assign(Workers.size(), {});
  for (std::size_t Position = 0; Position < Workers.size(); ++Position) {
    auto &Found = ByWorker[Position];
    for (const auto &Id : Workers[Position]->Runs) {
      const auto *Alive = Scheduler.run(Id);
      const auto *Owner = Scheduler.job(Id.Job);
      if (!Alive || !Owner || Alive->Phase == RunPhase::Stopping ||
          Owner->Progress.Steps[Id.Step][Id.Index].Done)
        continue;
      Found.push_back({Id, Owner->Spec.Steps[Id.Step].Need, costOf(Id),
                       Owner->Spec.Priority, Owner->Guaranteed});
    }
    std::sort(
        Found.begin(), Found.end(),
        [](const PreemptionCandidate &Left, const PreemptionCandidate &Right) {
          return std::tie(Left.Cost, Left.Id) < std::tie(Right.Cost, Right.Id);
        });
  }
}

auto PreemptionCandidates::remove(std::size_t Position, const RunId &Stopped)
    -> void {
  std::erase_if(ByWorker[Position], [&](const PreemptionCandidate &Candidate) {
    return Candidate.Id == Stopped;
  });
}

auto PreemptionCandidates::costOf(const RunId &Candidate) const -> double {
  double Cost = 0;
  for (const auto &Id : gangOf(Candidate)) {
    const auto &Alive = *Scheduler.run(Id);
    const auto &Spec = Scheduler.job(Id.Job)->Spec.Steps[Id.Step];
    auto Lost = seconds(Now - Alive.StartedAt);
    if (Spec.Checkpointing)
      Lost = std::min(Lost, SavedWorkSeconds);
    Cost += Lost * Spec.Need.coreEquivalents();
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
