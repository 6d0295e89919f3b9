#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace jayramp::scheduling {

/// Identifies one start of one task. The run numbers of a task increase with
/// each start and are never reused.
struct RunId {
  std::string Job;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0; ///< Of the task within its step.
  std::uint32_t Run = 0;   ///< Run number, from 1.

  friend auto operator==(const RunId &, const RunId &) -> bool = default;
  friend auto operator<(const RunId &Left, const RunId &Right) -> bool {
    return std::tie(Left.Job, Left.Step, Left.Index, Left.Run) <
           std::tie(Right.Job, Right.Step, Right.Index, Right.Run);
  }
};

/// Returns "JOB/STEP/INDEX#RUN", the form that is used in logs.
inline auto toString(const RunId &Id) -> std::string {
  return Id.Job + '/' + std::to_string(Id.Step) + '/' +
         std::to_string(Id.Index) + '#' + std::to_string(Id.Run);
}

} // namespace jayramp::scheduling
