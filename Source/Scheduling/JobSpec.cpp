#include "Scheduling/JobSpec.h"

#include <algorithm>

namespace jayramp::scheduling {

auto JobSpec::isWellFormed() const -> bool {
  std::uint64_t Tasks = 0;
  for (std::size_t Position = 0; Position < Steps.size(); ++Position) {
    const auto &After = Steps[Position].After;
    if (std::any_of(After.begin(), After.end(),
                    [=](auto Earlier) { return Earlier >= Position; }))
      return false;
    Tasks += Steps[Position].Count;
  }
  return !Steps.empty() && Tasks <= MaxTasks;
}

auto JobSpec::criticalPath() const -> Milliseconds {
  std::vector<Milliseconds> Ends(Steps.size(), Milliseconds{0});
  Milliseconds Longest{0};
  for (std::size_t Step = 0; Step < Steps.size(); ++Step) {
    Milliseconds Start{0};
    for (const auto Predecessor : Steps[Step].After)
      Start = std::max(Start, Ends[Predecessor]);
    Ends[Step] = Start + Steps[Step].Estimate;
    Longest = std::max(Longest, Ends[Step]);
  }
  return Longest;
}

auto JobSpec::objective() const -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(criticalPath() * Stretch) +
         TargetLatency;
}

auto JobSpec::longestUsefulTime() const -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(objective() *
                                                  MaxLatenessFactor);
}

} // namespace jayramp::scheduling
