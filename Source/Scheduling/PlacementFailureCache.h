#pragma once

#include "Scheduling/Resources.h"

#include <cstddef>
#include <limits>
#include <string_view>
#include <vector>

namespace jayramp::scheduling {

/// Tasks to be placed together, as far as it matters for whether they fit.
/// Refers to texts of their job.
struct TaskGroupShape {
  std::string_view Service;
  std::string_view RequiredLabel;
  Resources Need; ///< Of each task.
  std::size_t Count = 0;
  bool OneRack = false;
  bool Limited = false; ///< Has a limit of tasks on one worker.

  auto operator==(const TaskGroupShape &) const -> bool = default;
};

/// Shapes for which no room was found, or only at some cost. As long as room
/// only shrinks, tasks that ask for as much or more need not be tried.
class PlacementFailureCache {
public:
  /// The cost of room that does not exist.
  static constexpr double NoRoom = std::numeric_limits<double>::infinity();
  /// Costs of any size that is paid for room.
  static constexpr double AnyCost = std::numeric_limits<double>::max();

  auto add(const TaskGroupShape &Shape, double LeastCost = NoRoom) -> void;
  /// Whether tasks of \p Shape cannot be placed for \p Budget either.
  auto rulesOut(const TaskGroupShape &Shape, double Budget = AnyCost) const
      -> bool;
  /// Some room has grown.
  auto clear() -> void { Shapes.clear(); }

private:
  struct Failure {
    TaskGroupShape Shape;
    double LeastCost;
  };

  std::vector<Failure> Shapes;
};

} // namespace jayramp::scheduling
