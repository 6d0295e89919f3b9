#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jayramp::scheduling {

/// One start of one task. Run numbers rise for each task and are never reused.
struct RunId {
  std::string Job;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0; ///< Of the task within its step.
  std::uint32_t Run = 0;

  auto operator<=>(const RunId &) const = default;
};

/// "JOB/STEP/INDEX#RUN" for logs.
inline auto toString(const RunId &Id) -> std::string {
  return Id.Job + '/' + std::to_string(Id.Step) + '/' +
         std::to_string(Id.Index) + '#' + std::to_string(Id.Run);
}

} // namespace jayramp::scheduling
