#include "Scheduling/TaskGroup.h"

#include "Scheduling/WorkerEntry.h"

#include <algorithm>
#include <limits>

namespace jayramp::scheduling {

auto TaskGroup::mayRunOn(const WorkerEntry &Worker) const -> bool {
  const auto &Report = Worker.Report;
  if (Report.Service != Job->Spec.Service)
    return false;
  const auto &Label = spec().RequiredLabel;
  return Label.empty() || std::find(Report.Labels.begin(), Report.Labels.end(),
                                    Label) != Report.Labels.end();
}

auto TaskGroup::workerLimit() const -> std::uint32_t {
  const auto Limit = spec().MaxPerWorker;
  return Limit == 0 ? std::numeric_limits<std::uint16_t>::max() : Limit;
}

auto TaskGroup::remainingWorkerLimit(const WorkerEntry &Worker) const
    -> std::uint32_t {
  const auto Limit = workerLimit();
  if (spec().MaxPerWorker == 0)
    return Limit;
  std::uint32_t PresentCount = 0;
  for (const auto &[Id, LiveRun] : Worker.Runs)
    if (Id.Job == Job->Spec.Id && Id.Step == Step)
      ++PresentCount;
  return PresentCount >= Limit ? 0 : Limit - PresentCount;
}

} // namespace jayramp::scheduling
