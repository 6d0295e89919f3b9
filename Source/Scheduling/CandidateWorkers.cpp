#include "Scheduling/CandidateWorkers.h"

#include <algorithm>

namespace jayramp::scheduling {

auto CandidateWorkers::reset(std::size_t RackCount) -> void {
  Candidates.clear();
  PositionByWorker.clear();
  RackFreeGpus.assign(RackCount, 0);
  TotalFree = {};
  SpeedClasses.clear();
  FreeGpusByClass.clear();
}

auto CandidateWorkers::add(WorkerEntry &Worker, SpeedClass Speed) -> void {
  CandidateWorker Added{&Worker, Speed, Worker.Report.Capacity, {}, {}};
  Added.Free -= Worker.Used;
  Added.FreeAfterStops = Added.Free;
  Added.FreeAfterStops += Worker.Stopping;
  const auto Class =
      std::lower_bound(SpeedClasses.begin(), SpeedClasses.end(), Speed);
  if (Class == SpeedClasses.end() || *Class != Speed) {
    FreeGpusByClass.insert(
        FreeGpusByClass.begin() + (Class - SpeedClasses.begin()), 0);
    SpeedClasses.insert(Class, Speed);
  }
  addFree(Added, Added.Free);
  Candidates.push_back(Added);
}

auto CandidateWorkers::occupy(std::size_t Position, const Resources &Need)
    -> void {
  auto &Target = Candidates[Position];
  Target.Free -= Need;
  Target.FreeAfterStops -= Need;
  Resources Freed;
  Freed -= Need;
  addFree(Target, Freed);
}

auto CandidateWorkers::addFree(const CandidateWorker &Candidate,
                               const Resources &Amount) -> void {
  RackFreeGpus[Candidate.Worker->Rack] += Amount.Gpus;
  TotalFree += Amount;
  const auto Class = std::lower_bound(SpeedClasses.begin(), SpeedClasses.end(),
                                      Candidate.Speed);
  FreeGpusByClass[static_cast<std::size_t>(Class - SpeedClasses.begin())] +=
      Amount.Gpus;
}

auto CandidateWorkers::freeGpusWithin(const SpeedRange &Speeds) const
    -> std::int64_t {
  std::int64_t Sum = 0;
  for (std::size_t Index = 0; Index < SpeedClasses.size(); ++Index)
    if (Speeds.contains(SpeedClasses[Index]))
      Sum += FreeGpusByClass[Index];
  return Sum;
}

auto CandidateWorkers::releaseHeld() -> void {
  for (auto &Each : Candidates) {
    Each.FreeAfterStops += Each.Held;
    Each.Held = {};
  }
}

auto CandidateWorkers::indexById() -> void {
  for (std::size_t Position = 0; Position < Candidates.size(); ++Position)
    PositionByWorker.emplace(Candidates[Position].Worker->Report.Id, Position);
}

auto CandidateWorkers::positionOf(std::string_view Worker) const
    -> std::optional<std::size_t> {
  const auto Found = PositionByWorker.find(Worker);
  if (Found == PositionByWorker.end())
    return std::nullopt;
  return Found->second;
}

} // namespace jayramp::scheduling
