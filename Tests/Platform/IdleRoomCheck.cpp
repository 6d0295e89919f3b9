#include "IdleRoomCheck.h"

#include <algorithm>
#include <utility>

namespace jayramp::platform_test {

namespace {

constexpr unsigned GpusPerWorker = 8;
constexpr std::int64_t LongestIdleMs = 3000;
/// The room has to hold the waiting tasks this many times.
constexpr unsigned RoomFactor = 2;

auto jobOf(const std::string &Task) -> std::string {
  return Task.substr(0, Task.find('.'));
}

/// Returns the number after the second dot of "JOB.OCCURRENCE.STEP.INDEX".
auto stepOf(const std::string &Task) -> std::size_t {
  const auto Last = Task.rfind('.');
  const auto Middle = Task.rfind('.', Last - 1);
  return std::stoul(Task.substr(Middle + 1, Last - Middle - 1));
}

} // namespace

struct IdleRoomCheck::PoolUse {
  std::map<std::string, unsigned> GpusByWorker; ///< That runs take.
  std::set<std::string> RunningJobs;
  /// Completed tasks of each step of a job.
  std::map<std::pair<std::string, std::size_t>, std::set<std::string>> Done;
  unsigned GpusInUse = 0;

  /// Returns how many tasks of a step have not been completed. The end of one
  /// member of a gang stands for all of them.
  auto waitingTasks(const JobPlan &Plan, std::size_t Step) const -> unsigned {
    const auto Found = Done.find({Plan.Id, Step});
    if (Found == Done.end())
      return Plan.Steps[Step].TaskCount;
    return Plan.IsSameRackGang
               ? 0
               : Plan.Steps[Step].TaskCount -
                     static_cast<unsigned>(Found->second.size());
  }
};

auto IdleRoom::describe() const -> std::string {
  return "job " + Job.Plan.Id + ", accepted at " +
         std::to_string(Job.AcceptedAtMs) + " ms by " + Job.Host +
         ", had nothing running from " + std::to_string(SinceMs) + " ms to " +
         std::to_string(UntilMs) + " ms: " + std::to_string(WaitingTasks) +
         " tasks waited, room for " + std::to_string(Room) + ", " +
         std::to_string(GpusInUse) + " of " + std::to_string(GpusInAll) +
         " accelerators in use; " + Job.Plan.body();
}

auto IdleRoomCheck::poolUse(
    const std::vector<AcceptedJob> &Jobs,
    const std::vector<review::RunHistory::Entry> &Runs) const -> PoolUse {
  std::map<std::string, const JobPlan *> PlanById;
  for (const auto &Job : Jobs)
    PlanById[Job.Plan.Id] = &Job.Plan;
  PoolUse Use;
  for (const auto &Run : Runs) {
    const auto Job = jobOf(Run.Task);
    const auto Step = stepOf(Run.Task);
    if (Run.EndMs) {
      if (Run.How == "done")
        Use.Done[{Job, Step}].insert(Run.Task);
      continue;
    }
    Use.RunningJobs.insert(Job);
    auto &OfWorker = Use.GpusByWorker[Run.Worker];
    // A run may begin before its job's acceptance has reached the client.
    if (const auto Found = PlanById.find(Job); Found != PlanById.end()) {
      const auto Gpus = Found->second->Steps.at(Step).GpusPerTask;
      OfWorker += Gpus;
      Use.GpusInUse += Gpus;
    } else {
      OfWorker = GpusPerWorker;
    }
  }
  return Use;
}

auto IdleRoomCheck::roomFor(const JobPlan &Plan, const StepPlan &Step,
                            const PoolUse &Use) const -> unsigned {
  unsigned Room = 0;
  for (const auto &[Worker, Rack] : RackByWorker) {
    if (!Plan.RequiredRack.empty() && Plan.RequiredRack != Rack)
      continue;
    const auto Found = Use.GpusByWorker.find(Worker);
    const auto Used = Found == Use.GpusByWorker.end()
                          ? 0
                          : std::min(Found->second, GpusPerWorker);
    const auto Tasks = (GpusPerWorker - Used) / Step.GpusPerTask;
    Room += Step.MaxTasksPerWorker == 0
                ? Tasks
                : std::min(Tasks, Step.MaxTasksPerWorker);
  }
  return Room;
}

auto IdleRoomCheck::look(std::int64_t NowMs,
                         const std::vector<AcceptedJob> &Jobs,
                         const std::vector<review::RunHistory::Entry> &Runs)
    -> std::optional<IdleRoom> {
  const auto Use = poolUse(Jobs, Runs);
  const auto GpusInAll =
      static_cast<unsigned>(RackByWorker.size()) * GpusPerWorker;
  std::optional<IdleRoom> Found;
  for (const auto &Job : Jobs) {
    const auto &Steps = Job.Plan.Steps;
    std::size_t Step = 0;
    while (Step < Steps.size() && Use.waitingTasks(Job.Plan, Step) == 0)
      ++Step;
    const bool IsWaiting =
        Step < Steps.size() && !Use.RunningJobs.contains(Job.Plan.Id);
    const auto Waiting = IsWaiting ? Use.waitingTasks(Job.Plan, Step) : 0;
    const auto Room = IsWaiting ? roomFor(Job.Plan, Steps[Step], Use) : 0;
    if (!IsWaiting || Room < RoomFactor * Waiting ||
        2 * Use.GpusInUse >= GpusInAll) {
      IdleSinceMs.erase(Job.Plan.Id);
      continue;
    }
    const auto SinceMs =
        IdleSinceMs.try_emplace(Job.Plan.Id, NowMs).first->second;
    if (NowMs - SinceMs > LongestIdleMs && !Found &&
        Reported.insert(Job.Plan.Id).second)
      Found = IdleRoom{Job,  SinceMs,       NowMs,    Waiting,
                       Room, Use.GpusInUse, GpusInAll};
  }
  return Found;
}

} // namespace jayramp::platform_test
