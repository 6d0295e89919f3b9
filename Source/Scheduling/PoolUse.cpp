#include "Scheduling/PoolUse.h"

#include "Scheduling/JobEntry.h"
#include "Scheduling/Run.h"

namespace jayramp::scheduling {

namespace {

/// Returns the share of the capacity of the open workers of \p Service that
/// \p UsedOn returns for them; 1 if there are none.
template <typename UseOfWorker>
auto shareOfPool(const std::map<std::string, WorkerEntry> &Workers,
                 const std::string &Service, UseOfWorker UsedOn) -> double {
  double Used = 0;
  double Capacity = 0;
  for (const auto &[Id, Entry] : Workers) {
    if (!Entry.isOpen() || Entry.Report.Service != Service)
      continue;
    Used += UsedOn(Entry);
    Capacity += Entry.Report.Capacity.coreEquivalents();
  }
  return Capacity > 0 ? Used / Capacity : 1.0;
}

} // namespace

auto poolUse(const std::map<std::string, WorkerEntry> &Workers,
             const std::string &Service) -> double {
  return shareOfPool(Workers, Service, [](const WorkerEntry &Entry) {
    return Entry.Used.coreEquivalents();
  });
}

auto confirmedPoolUse(const std::map<std::string, WorkerEntry> &Workers,
                      const std::string &Service) -> double {
  return shareOfPool(Workers, Service, [](const WorkerEntry &Entry) {
    double Used = 0;
    for (const auto &[Id, LiveRun] : Entry.Runs)
      if (LiveRun->Phase == RunPhase::Started)
        Used += LiveRun->Job->Spec.Steps[Id.Step].Need.coreEquivalents();
    return Used;
  });
}

} // namespace jayramp::scheduling
