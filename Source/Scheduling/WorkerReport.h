#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jayramp::scheduling {

/// The latest description of a worker by itself.
struct WorkerReport {
  std::string Id;
  std::string Service; ///< Pool that the worker belongs to.
  std::string Address; ///< "ip:port" that accepts start and stop orders.
  std::string Zone;
  std::string Rack;
  std::vector<std::string> Labels;
  Resources Capacity; ///< Total resources, whether in use or not.
  bool Draining = false;
  /// Time from the report until a draining worker leaves, if it is known.
  std::optional<Milliseconds> Remaining;
  std::int64_t Incarnation = 0; ///< Start time of the worker, Unix ms.

  auto operator==(const WorkerReport &) const -> bool = default;
};

} // namespace jayramp::scheduling
