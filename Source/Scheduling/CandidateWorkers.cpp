#include "Scheduling/CandidateWorkers.h"

#include <algorithm>

namespace jayramp::scheduling {

auto CandidateWorkers::reset(std::size_t RackCount) -> void {
  Candidates.clear();
  PositionByWorker.clear();
  RackFreeGpus.assign(RackCount, 0);
  FreeGpus = 0;
  SpeedClasses.clear();
  FreeGpusByClass.clear();
}

auto CandidateWorkers::add(WorkerEntry &Worker, SpeedClass Speed) -> void {
  CandidateWorker Added{&Worker, Speed, Worker.Report.Capacity, {}};
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
  addFreeGpus(Added, Added.Free.Gpus);
  Candidates.push_back(Added);
}

auto CandidateWorkers::occupy(std::size_t Position, const Resources &Need)
    -> void {
  auto &Target = Candidates[Position];
  Target.Free -= Need;
  Target.FreeAfterStops -= Need;
  addFreeGpus(Target, -Need.Gpus);
}

auto CandidateWorkers::addFreeGpus(const CandidateWorker &Candidate,
                                   std::int64_t Gpus) -> void {
  RackFreeGpus[Candidate.Worker->Rack] += Gpus;
  FreeGpus += Gpus;
  const auto Class = std::lower_bound(SpeedClasses.begin(), SpeedClasses.end(),
                                      Candidate.Speed);
  FreeGpusByClass[static_cast<std::size_t>(Class - SpeedClasses.begin())] +=
      Gpus;
}

auto CandidateWorkers::freeGpusWithin(const SpeedRange &Speeds) const
    -> std::int64_t {
  std::int64_t Sum = 0;
  for (std::size_t Index = 0; Index < SpeedClasses.size(); ++Index)
    if (Speeds.contains(SpeedClasses[Index]))
      Sum += FreeGpusByClass[Index];
  return Sum;
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
