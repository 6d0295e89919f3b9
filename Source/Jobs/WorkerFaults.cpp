#include "Jobs/WorkerFaults.h"

#include <algorithm>

namespace jayramp {

auto WorkerFaults::recordFailure(const std::string &Worker,
                                 const std::string &Job, TimePoint Now,
                                 const SchedulerPolicy &Policy)
    -> std::optional<Quarantine> {
  auto &Entry = Records[Worker];
  if (Entry.Until)
    return std::nullopt;
  Entry.Jobs.insert(Job);
  const std::size_t Limit =
      Entry.Quarantines > 0 ? 1 : std::size_t{Policy.FailedJobLimit};
  if (Entry.Jobs.size() < Limit)
    return std::nullopt;
  Quarantine Caused;
  // 20 doublings exceed any sensible limit and do not overflow.
  const auto Doublings = std::min(Entry.Quarantines, 20U);
  Caused.Delay =
      std::min(Policy.QuarantineDelay * (std::int64_t{1} << Doublings),
               Policy.LongestQuarantine);
  Caused.Jobs.assign(Entry.Jobs.begin(), Entry.Jobs.end());
  ++Entry.Quarantines;
  Entry.Until = Now + Caused.Delay;
  Entry.Jobs.clear();
  return Caused;
}

auto WorkerFaults::recordSuccess(const std::string &Worker) -> void {
  const auto Found = Records.find(Worker);
  if (Found != Records.end() && !Found->second.Until)
    Records.erase(Found);
}

auto WorkerFaults::forgetJob(const std::string &Job) -> void {
  for (auto &[Worker, Entry] : Records)
    Entry.Jobs.erase(Job);
}

auto WorkerFaults::expire(TimePoint Now) -> bool {
  bool Any = false;
  for (auto &[Worker, Entry] : Records)
    if (Entry.Until && *Entry.Until <= Now) {
      Entry.Until.reset();
      Any = true;
    }
  return Any;
}

auto WorkerFaults::isQuarantined(const std::string &Worker) const -> bool {
  const auto Found = Records.find(Worker);
  return Found != Records.end() && Found->second.Until.has_value();
}

} // namespace jayramp
