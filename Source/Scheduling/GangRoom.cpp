#include "Scheduling/GangRoom.h"

#include "Scheduling/CandidateWorkers.h"
#include "Scheduling/RoomForecast.h"

#include <algorithm>
#include <map>

namespace jayramp::scheduling {

namespace {

/// Shortest interval between two updates: a plan looks at every run.
constexpr Milliseconds UpdateInterval{250};
/// Largest number of plans for further gangs in one update.
constexpr unsigned MaxNewPlans = 2;
constexpr std::size_t MaxGatherings = 2;
/// After no plan was found for a gang, none is searched for this time.
constexpr Milliseconds SearchInterval{1000};
/// After room was given up, none is gathered for the same gang for this
/// multiple of its longest hold, so that others get the room for longer than it
/// was held.
constexpr int PauseFactor = 2;

auto seconds(Clock::duration Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

auto findGroup(const std::vector<TaskGroup> &Groups,
               const GangRoom::Gathering &Target) -> const TaskGroup * {
  const auto Found =
      std::find_if(Groups.begin(), Groups.end(), [&](const TaskGroup &Group) {
        return Group.Step == Target.Step && Group.Job->Spec.Id == Target.Job;
      });
  return Found == Groups.end() ? nullptr : &*Found;
}

/// Returns whether the whole gang waits and looks for workers.
auto waitsAsWhole(const TaskGroup &Group) -> bool {
  return Group.spec().Gang && !Group.NotTried &&
         Group.Job->waitingTasks(Group.Step) == Group.TaskCount;
}

} // namespace

auto GangRoom::Gathering::isHeldAgainst(const TaskGroup &Group) const -> bool {
  const auto Other = Group.Job->Spec.Priority;
  if (Other != Priority)
    return Other > Priority;
  return !IsTooLate || Group.JobLateness == Lateness::TooLate;
}

auto GangRoom::update(const PassState &State) -> void {
  NextUpdate = State.Now + UpdateInterval;
  replan(State);
  begin(State);
}

auto GangRoom::replan(const PassState &State) -> void {
  // Frees what is held before it is planned anew.
  State.Candidates.releaseHeld();
  for (auto &Each : std::exchange(Gatherings, {})) {
    const auto *Group = findGroup(State.Groups, Each);
    const bool MayHold = Group && waitsAsWhole(*Group) &&
                         State.PoolUse >= Policy.IdlePoolUse &&
                         State.Now < Each.Deadline;
    const auto Chosen =
        MayHold ? findPlan(State, *Group, Each.Deadline) : std::nullopt;
    if (Chosen) {
      Each.IsTooLate = Group->JobLateness == Lateness::TooLate;
      hold(State, *Chosen, Each);
      Gatherings.push_back(std::move(Each));
      continue;
    }
    record("given-up", Each, seconds(State.Now - Each.BeganAt));
    if (Group)
      Group->Job->NextGangRoomSearch =
          State.Now + longestHold(*Group->Job) * PauseFactor;
  }
}

auto GangRoom::begin(const PassState &State) -> void {
  if (State.PoolUse < Policy.IdlePoolUse)
    return;
  unsigned Plans = 0;
  for (const auto &Group : State.Groups) {
    if (Gatherings.size() >= MaxGatherings || Plans >= MaxNewPlans)
      return;
    if (!isEligible(State, Group))
      continue;
    ++Plans;
    tryToBegin(State, Group);
  }
}

auto GangRoom::isEligible(const PassState &State, const TaskGroup &Group) const
    -> bool {
  const auto &Job = *Group.Job;
  if (Job.Spec.Priority == 0 || !waitsAsWhole(Group) ||
      State.Now < Job.NextGangRoomSearch)
    return false;
  const auto Waited =
      State.Now - Job.waitingSince(Group.Step).value_or(State.Now);
  return seconds(Waited) >=
             Job.ObjectiveSeconds * Policy.GangRoomWaitFraction &&
         isWithinShare(State, Group) &&
         std::none_of(
             Gatherings.begin(), Gatherings.end(),
             [&](const Gathering &Each) { return Each.Job == Job.Spec.Id; });
}

auto GangRoom::isWithinShare(const PassState &State,
                             const TaskGroup &Group) const -> bool {
  auto Held = Group.spec().Need.coreEquivalents() * Group.TaskCount;
  for (const auto &Each : Gatherings)
    Held += Each.Need.coreEquivalents() * Each.Tasks;
  return Held <= State.PoolCoreEquivalents * Policy.MaxGangRoomFraction;
}

auto GangRoom::longestHold(const JobEntry &Job) const -> Milliseconds {
  const std::chrono::duration<double> ShareOfObjective(
      Job.ObjectiveSeconds * Policy.GangRoomHoldFraction);
  return std::min(Policy.MaxGangRoomHold,
                  std::chrono::duration_cast<Milliseconds>(ShareOfObjective));
}

auto GangRoom::tryToBegin(const PassState &State, const TaskGroup &Group)
    -> void {
  auto &Job = *Group.Job;
  const auto Deadline = State.Now + longestHold(Job);
  const auto Chosen = findPlan(State, Group, Deadline);
  if (!Chosen) {
    Job.NextGangRoomSearch = State.Now + SearchInterval;
    return;
  }
  Gathering Next{Job.Spec.Id,
                 Group.Step,
                 Group.TaskCount,
                 Group.spec().Need,
                 Job.Spec.Priority,
                 Group.JobLateness == Lateness::TooLate,
                 State.Now,
                 Deadline,
                 {}};
  hold(State, *Chosen, Next);
  record("began", Next, seconds(Chosen->ReadyAt - State.Now));
  Gatherings.push_back(std::move(Next));
}

auto GangRoom::findPlan(const PassState &State, const TaskGroup &Group,
                        TimePoint Until) -> std::optional<Plan> {
  std::optional<Plan> Earliest;
  for (const auto &WorkerSet :
       State.Search.eligibleWorkerSets(Group.AllowedSpeeds, Group)) {
    auto Next = planOn(State, Group, WorkerSet, Until);
    if (Next && (!Earliest || Next->ReadyAt < Earliest->ReadyAt))
      Earliest = std::move(Next);
  }
  return Earliest;
}

auto GangRoom::planOn(const PassState &State, const TaskGroup &Group,
                      const std::vector<std::size_t> &WorkerSet,
                      TimePoint Until) -> std::optional<Plan> {
  std::vector<std::pair<TimePoint, std::size_t>> Times;
  for (const auto Position : WorkerSet) {
    const auto &Candidate = State.Candidates[Position];
    const auto MaxCount = std::min(
        Group.TaskCount, Group.remainingWorkerLimit(*Candidate.Worker));
    for (const auto Time : State.Forecast.roomTimes(
             Candidate, Group.spec().Need, MaxCount, Until))
      Times.emplace_back(Time, Position);
  }
  if (Times.size() < Group.TaskCount)
    return std::nullopt;
  const auto Last = Times.begin() + (Group.TaskCount - 1);
  std::nth_element(Times.begin(), Last, Times.end());
  std::map<std::size_t, std::uint32_t> Counts;
  std::for_each(Times.begin(), Last + 1,
                [&](const auto &Time) { ++Counts[Time.second]; });
  return Plan{Last->first, {Counts.begin(), Counts.end()}};
}

auto GangRoom::hold(const PassState &State, const Plan &Chosen,
                    Gathering &Target) -> void {
  Target.Workers.clear();
  for (const auto &[Position, Tasks] : Chosen.TasksByPosition) {
    Target.Workers.emplace_back(State.Candidates[Position].Worker->Report.Id,
                                Tasks);
    State.Candidates.hold(Position, Target.Need * Tasks);
  }
}

auto GangRoom::recordPlaced(const JobEntry &Job, std::uint32_t Step,
                            TimePoint Now) -> void {
  std::erase_if(Gatherings, [&](const Gathering &Each) {
    if (Each.Job != Job.Spec.Id || Each.Step != Step)
      return false;
    record("placed", Each, seconds(Now - Each.BeganAt));
    return true;
  });
}

auto GangRoom::record(std::string_view Kind, const Gathering &About,
                      double Seconds) -> void {
  Decisions.push_back({Kind, About.Job, About.Step, About.Tasks,
                       About.Workers.size(), Seconds});
}

} // namespace jayramp::scheduling
