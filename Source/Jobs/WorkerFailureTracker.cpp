#include "Jobs/WorkerFailureTracker.h"

#include <algorithm>

namespace jayramp {

auto WorkerFailureTracker::recordFailure(const std::string &Worker,
                                         const std::string &Job, TimePoint Now,
                                         const SchedulerPolicy &Policy)
    -> std::optional<Quarantine> {
  auto &Entry = Records[Worker];
  if (Entry.QuarantinedUntil)
    return std::nullopt;
  Entry.Jobs.insert(Job);
  const std::size_t Limit =
      Entry.Quarantines > 0 ? 1 : std::size_t{Policy.FailedJobsPerWorkerLimit};
  if (Entry.Jobs.size() < Limit)
    return std::nullopt;
  Quarantine NewQuarantine;
  // Limited to 20 doublings, which exceed any sensible maximum and do not
  // overflow.
  const auto Doublings = std::min(Entry.Quarantines, 20U);
  NewQuarantine.Duration =
      std::min(Policy.FirstQuarantineDuration * (std::int64_t{1} << Doublings),
               Policy.MaxQuarantineDuration);
  NewQuarantine.Jobs.assign(Entry.Jobs.begin(), Entry.Jobs.end());
  ++Entry.Quarantines;
  Entry.QuarantinedUntil = Now + NewQuarantine.Duration;
  Entry.Jobs.clear();
  return NewQuarantine;
}

auto WorkerFailureTracker::recordSuccess(const std::string &Worker) -> void {
  const auto Found = Records.find(Worker);
  if (Found != Records.end() && !Found->second.QuarantinedUntil)
    Records.erase(Found);
}

auto WorkerFailureTracker::forgetFailuresOfJob(const std::string &Job) -> void {
  for (auto &[Worker, Entry] : Records)
    Entry.Jobs.erase(Job);
}

auto WorkerFailureTracker::endExpiredQuarantines(TimePoint Now) -> bool {
  bool AnyEnded = false;
  for (auto &[Worker, Entry] : Records)
    if (Entry.QuarantinedUntil && *Entry.QuarantinedUntil <= Now) {
      Entry.QuarantinedUntil.reset();
      AnyEnded = true;
    }
  return AnyEnded;
}

auto WorkerFailureTracker::isQuarantined(const std::string &Worker) const
    -> bool {
  const auto Found = Records.find(Worker);
  return Found != Records.end() && Found->second.QuarantinedUntil.has_value();
}

} // namespace jayramp
