#include "Scheduling/PoolUse.h"

namespace jayramp::scheduling {

auto poolUse(const std::map<std::string, WorkerEntry> &Workers,
             const std::string &Service) -> double {
  double Used = 0;
  double Capacity = 0;
  for (const auto &[Id, Entry] : Workers) {
    if (!Entry.isOpen() || Entry.Report.Service != Service)
      continue;
    Used += Entry.Used.coreEquivalents();
    Capacity += Entry.Report.Capacity.coreEquivalents();
  }
  return Capacity > 0 ? Used / Capacity : 1.0;
}

} // namespace jayramp::scheduling
