#include "Scheduling/RunTimeModel.h"

#include "Scheduling/JobSpec.h"

namespace jayramp::scheduling {

auto RunTimeModel::recordProgress(const Run &, const WorkerEntry &,
                                  std::uint32_t, TimePoint) -> void {}

auto RunTimeModel::recordSuccess(const Run &, const WorkerEntry &, TimePoint)
    -> void {}

auto RunTimeModel::forgetWorker(const std::string &) -> void {}

auto RunTimeModel::knowsSpeeds() const -> bool { return false; }

auto RunTimeModel::timeFactor(const WorkerEntry &) const -> double {
  return 1.0;
}

auto RunTimeModel::expectedTime(const JobSpec &Job, std::uint32_t Step) const
    -> Milliseconds {
  return Job.Steps[Step].Estimate;
}

} // namespace jayramp::scheduling
