#pragma once

#include "Scheduling/WorkExpectation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace jayramp::scheduling {

struct JobSpec;
struct StepSpec;

/// Steps that are expected to resemble each other: those of one queue with
/// similar requirements.
struct WorkKind {
  std::string Queue;
  int CpuOctave = 0;    ///< Binary logarithm of the processor cores.
  int MemoryOctave = 0; ///< Binary logarithm of the memory.
  std::int64_t Gpus = 0;
  bool Gang = false;

  static auto of(const JobSpec &Job, const StepSpec &Step) -> WorkKind;

  friend auto operator==(const WorkKind &, const WorkKind &) -> bool = default;
  friend auto operator<(const WorkKind &Left, const WorkKind &Right) -> bool {
    return std::tie(Left.Queue, Left.CpuOctave, Left.MemoryOctave, Left.Gpus,
                    Left.Gang) < std::tie(Right.Queue, Right.CpuOctave,
                                          Right.MemoryOctave, Right.Gpus,
                                          Right.Gang);
  }
};

/// Learns, for each kind of work, how much work its tasks are and how far the
/// declared estimates can be relied on. Work is the time of a task on a typical
/// worker.
class WorkKinds {
public:
  WorkKinds();
  ~WorkKinds();

  // Commands.

  /// Records that one task of \p Step does exp(\p LogWork) seconds of work.
  auto record(const JobSpec &Job, const StepSpec &Step, double LogWork) -> void;
  /// Records how far the logarithm of the time of a run of \p Step was from
  /// that of the other runs, apart from the speeds of their workers.
  auto recordDeviation(const JobSpec &Job, const StepSpec &Step,
                       double Deviation) -> void;

  // Queries.

  /// Returns what to expect of \p Step before any of its tasks has run.
  auto expected(const JobSpec &Job, const StepSpec &Step) const
      -> WorkExpectation;
  /// Returns whether anything was learned of the kind of \p Step.
  auto isKnown(const JobSpec &Job, const StepSpec &Step) const -> bool;

private:
  class Statistics;

  static constexpr std::size_t MaxKinds = 1024;

  /// Returns the statistics of a kind for a record. A new kind takes the place
  /// of the one that was recorded least recently if there are too many.
  auto statisticsOf(const JobSpec &Job, const StepSpec &Step) -> Statistics &;

  std::map<WorkKind, std::unique_ptr<Statistics>> Kinds;
  std::uint64_t Records = 0; ///< Made so far.
};

} // namespace jayramp::scheduling
