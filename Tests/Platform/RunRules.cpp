#include "RunRules.h"

#include <algorithm>
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

/// Returns true if a run on the worker of \p Run ended by its lease after the
/// end of \p Run and before its acknowledgement.
auto hasLeaseLapsed(const Entry &Run, const std::vector<Entry> &Runs) -> bool {
  return std::ranges::any_of(Runs, [&](const Entry &Each) {
    return Each.Worker == Run.Worker && Each.How == "lapsed" &&
           Each.EndMs > Run.EndMs && Each.EndMs < Run.AcknowledgedMs;
  });
}

auto compare(const Entry &Earlier, const Entry &Later,
             const std::vector<Entry> &Runs, std::int64_t NowMs,
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
  else if (*Earlier.EndMs < Later.StartMs && !hasLeaseLapsed(Earlier, Runs))
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
      compare(*Each, Run, Runs, NowMs, Found);
    Earlier.push_back(&Run);
  }
  return Found;
}

} // namespace jayramp::platform_test
