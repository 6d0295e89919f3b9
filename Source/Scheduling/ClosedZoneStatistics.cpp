#include "Scheduling/ClosedZoneStatistics.h"

#include "Scheduling/ShardScheduler.h"

namespace jayramp::scheduling {

auto collectClosedZoneStatistics(const ShardScheduler &Scheduler)
    -> std::map<std::string, ClosedZoneUse> {
  std::map<std::string, ClosedZoneUse> UseByZone;
  for (const auto &Zone : Scheduler.closedZones())
    UseByZone[Zone];
  if (UseByZone.empty())
    return UseByZone;
  for (const auto &[Id, Entry] : Scheduler.workers()) {
    const auto Found = UseByZone.find(Entry.Report.Zone);
    if (Found == UseByZone.end())
      continue;
    Found->second.Workers += Entry.Registered ? 1 : 0;
    Found->second.Runs += Entry.Runs.size();
  }
  return UseByZone;
}

} // namespace jayramp::scheduling
