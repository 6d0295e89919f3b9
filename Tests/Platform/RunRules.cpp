#include "RunRules.h"

#include <map>

namespace jayramp::platform_test {

namespace {

using Entry = review::RunHistory::Entry;

auto describe(const Entry &Run) -> std::string {
  auto Text = review::RunHistory::describe(Run) + ", " +
              std::to_string(Run.StartMs) + " ms to ";
  return Text +
         (Run.EndMs ? std::to_string(*Run.EndMs) + " ms, " + Run.How : "now");
}

/// Returns whether the lease of the run's worker lapsed between the end of the
/// run and its acknowledgement.
auto hasLeaseLapsed(const Entry &Run) -> bool {
  return Run.LeaseLapsedMs && *Run.LeaseLapsedMs < *Run.AcknowledgedMs;
}

auto compare(const Entry &Earlier, const Entry &Later, std::int64_t NowMs,
             std::vector<std::string> &Found) -> void {
  if (Later.StartMs < Earlier.EndMs.value_or(NowMs))
    Found.push_back("two runs overlap: " + describe(Earlier) + " and " +
                    describe(Later));
  if (Earlier.How != "done" || !Earlier.AcknowledgedMs)
    return;
  const auto Ends = "its end was acknowledged at " +
                    std::to_string(*Earlier.AcknowledgedMs) +
                    " ms: " + describe(Earlier) + " and " + describe(Later);
  if (*Earlier.AcknowledgedMs < Later.StartMs)
    Found.push_back("started after " + Ends);
  else if (*Earlier.EndMs < Later.StartMs && !hasLeaseLapsed(Earlier))
    Found.push_back("started again before " + Ends);
}

} // namespace

auto RunRules::findings(const std::vector<Entry> &Runs, std::int64_t NowMs)
    -> std::vector<std::string> {
  // The history lists runs in the order of their starts.
  std::map<std::string, std::vector<const Entry *>> ByTask;
  std::vector<std::string> Found;
  for (const auto &Run : Runs) {
    auto &Earlier = ByTask[Run.Task];
    for (const auto *Each : Earlier)
      compare(*Each, Run, NowMs, Found);
    Earlier.push_back(&Run);
  }
  return Found;
}

} // namespace jayramp::platform_test
