#include "Scheduling/CandidateWorkers.h"

namespace jayramp::scheduling {

auto CandidateWorkers::reset(std::size_t RackCount) -> void {
  Candidates.clear();
  PositionByWorker.clear();
  RackFreeGpus.assign(RackCount, 0);
  FreeGpus = 0;
}

auto CandidateWorkers::add(WorkerEntry &Worker) -> void {
  CandidateWorker Added{&Worker, Worker.Report.Capacity, {}};
  Added.Free -= Worker.Used;
  Added.FreeAfterStops = Added.Free;
  Added.FreeAfterStops += Worker.Stopping;
  RackFreeGpus[Worker.Rack] += Added.Free.Gpus;
  FreeGpus += Added.Free.Gpus;
  Candidates.push_back(Added);
}

auto CandidateWorkers::occupy(std::size_t Position, const Resources &Need)
    -> void {
  auto &Target = Candidates[Position];
  Target.Free -= Need;
  Target.FreeAfterStops -= Need;
  RackFreeGpus[Target.Worker->Rack] -= Need.Gpus;
  FreeGpus -= Need.Gpus;
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
