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

} // namespace jayramp::scheduling
