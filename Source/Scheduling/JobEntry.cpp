#include "Scheduling/JobEntry.h"

#include <algorithm>
#include <utility>

namespace jayramp::scheduling {

namespace {

constexpr std::int64_t MaxTotalGpus = 1'000'000'000;

auto seconds(Milliseconds Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

JobEntry::JobEntry(JobSpec JobSpecification, JobProgress StoredProgress,
                   TimePoint SubmittedAt, std::uint64_t Sequence)
    : Spec(std::move(JobSpecification)), Progress(std::move(StoredProgress)),
      SubmittedAt(SubmittedAt), Sequence(Sequence), FinishedAt(SubmittedAt),
      CriticalPathSeconds(seconds(Spec.criticalPath())),
      ObjectiveSeconds(CriticalPathSeconds * Spec.Stretch +
                       seconds(Spec.TargetLatency)),
      MeasuredWork(Spec.Steps.size()), Steps(Spec.Steps.size()) {
  Progress.Steps.resize(Spec.Steps.size());
  for (std::uint32_t Step = 0; Step < Spec.Steps.size(); ++Step) {
    const auto &Declared = Spec.Steps[Step];
    Progress.Steps[Step].resize(Declared.Count);
    Steps[Step].UnsentRuns.resize(Declared.Count);
    // Bounded, so that sums over jobs with absurd requirements do not overflow.
    TotalGpus = std::min(
        MaxTotalGpus, TotalGpus + std::min(Declared.Need.Gpus, MaxTotalGpus) *
                                      std::int64_t(Declared.Count));
    Work += Declared.Need.coreEquivalents() * Declared.Count *
            seconds(Declared.Estimate);
    for (const auto &Task : Progress.Steps[Step]) {
      Steps[Step].SentRuns.push_back(Task.LastRunNumber);
      if (Task.Done)
        continue;
      ++Steps[Step].Undone;
      ++UndoneTasks;
      if (Task.Worker.empty())
        addToWaiting(Step);
    }
  }
}

auto JobEntry::placeTask(std::uint32_t Step, std::uint32_t Index,
                         std::uint32_t RunNumber, std::string Worker,
                         std::int64_t Incarnation) -> void {
  auto &Task = Progress.Steps[Step][Index];
  if (Task.Worker.empty() && !Task.Done)
    removeFromWaiting(Step);
  Task.LastRunNumber = RunNumber;
  Task.Worker = std::move(Worker);
  Task.Incarnation = Incarnation;
}

auto JobEntry::vacateTask(std::uint32_t Step, std::uint32_t Index) -> void {
  auto &Task = Progress.Steps[Step][Index];
  if (Task.Worker.empty())
    return;
  Task.Worker.clear();
  if (!Task.Done)
    addToWaiting(Step);
}

auto JobEntry::markTaskDone(std::uint32_t Step, std::uint32_t Index) -> void {
  auto &Task = Progress.Steps[Step][Index];
  if (Task.Done)
    return;
  Task.Done = true;
  --Steps[Step].Undone;
  --UndoneTasks;
  if (Task.Worker.empty())
    removeFromWaiting(Step);
  if (Steps[Step].Waiting == 0)
    resetWait(Step);
}

auto JobEntry::recordWaiting(std::uint32_t Step, TimePoint Now) -> void {
  auto &Since = Steps[Step].WaitingSince;
  if (Since)
    return;
  const auto &Tasks = Progress.Steps[Step];
  const bool NeverPlaced =
      std::all_of(Tasks.begin(), Tasks.end(),
                  [](const auto &Task) { return Task.LastRunNumber == 0; });
  const bool WaitsSinceSubmission =
      Spec.Steps[Step].After.empty() && NeverPlaced;
  Since = WaitsSinceSubmission ? SubmittedAt : Now;
}

auto JobEntry::recordStarted(std::uint32_t Step, std::uint32_t Index) -> void {
  resetWait(Step);
  Steps[Step].UnsentRuns[Index].recordSuccess();
}

auto JobEntry::recordUnsentRun(std::uint32_t Step, std::uint32_t Index,
                               const RetryBackoff::Limits &Delay, TimePoint Now)
    -> void {
  auto &Unsent = Steps[Step].UnsentRuns[Index];
  Unsent.recordFailure(Delay, Now);
  Steps[Step].LastUnsentDelayEnds =
      std::max(Steps[Step].LastUnsentDelayEnds, Unsent.until());
}

auto JobEntry::recordStartSent(std::uint32_t Step, std::uint32_t Index,
                               std::uint32_t RunNumber) -> void {
  auto &Sent = Steps[Step].SentRuns[Index];
  Sent = std::max(Sent, RunNumber);
}

auto JobEntry::mayHaveRunAfter(std::uint32_t Step, std::uint32_t Index,
                               std::uint32_t RunNumber) const -> bool {
  const auto &Sent = Steps[Step].SentRuns;
  if (!Spec.Steps[Step].Gang)
    return Sent[Index] > RunNumber;
  return std::any_of(Sent.begin(), Sent.end(),
                     [=](auto Each) { return Each > RunNumber; });
}

auto JobEntry::isReady(std::uint32_t Step) const -> bool {
  const auto &After = Spec.Steps[Step].After;
  return std::all_of(After.begin(), After.end(), [this](auto Predecessor) {
    return Steps[Predecessor].Undone == 0;
  });
}

auto JobEntry::placeableIndices(std::uint32_t Step, std::uint32_t MaxCount,
                                TimePoint Now) const
    -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> Indices;
  const auto &Tasks = Progress.Steps[Step];
  const auto &Unsent = Steps[Step].UnsentRuns;
  for (std::uint32_t Index = 0;
       Index < Tasks.size() && Indices.size() < MaxCount; ++Index)
    if (!Tasks[Index].Done && Tasks[Index].Worker.empty() &&
        Unsent[Index].isOver(Now))
      Indices.push_back(Index);
  return Indices;
}

auto JobEntry::placeableTasks(std::uint32_t Step, TimePoint Now) const
    -> std::uint32_t {
  const auto Waiting = Steps[Step].Waiting;
  if (Now >= Steps[Step].LastUnsentDelayEnds)
    return Waiting;
  return static_cast<std::uint32_t>(
      placeableIndices(Step, Waiting, Now).size());
}

auto JobEntry::addToWaiting(std::uint32_t Step) -> void {
  ++Steps[Step].Waiting;
  ++WaitingTasks;
}

auto JobEntry::resetWait(std::uint32_t Step) -> void {
  Steps[Step].WaitingSince.reset();
  Steps[Step].LastWaitReason.reset();
}

auto JobEntry::removeFromWaiting(std::uint32_t Step) -> void {
  --Steps[Step].Waiting;
  --WaitingTasks;
  if (Steps[Step].Waiting == 0)
    Steps[Step].SpeedWaitSince.reset();
}

} // namespace jayramp::scheduling
