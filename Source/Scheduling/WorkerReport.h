#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jayramp::scheduling {

/// What a worker last said about itself.
struct WorkerReport {
  std::string Id;
  std::string Service; ///< Pool that the worker belongs to.
  std::string Address; ///< "ip:port" for orders.
  std::string Zone;
  std::string Rack;
  std::vector<std::string> Labels;
  Resources Capacity; ///< In total, whether in use or not.
  bool Draining = false;
  /// Time until a draining worker leaves, when the report was made.
  std::optional<Milliseconds> Remaining;
  std::int64_t Incarnation = 0; ///< Unix milliseconds of its start.

  auto operator==(const WorkerReport &) const -> bool = default;
};

} // namespace jayramp::scheduling
