#pragma once

#include "Base/Clock.h"
#include "Scheduling/WorkerReport.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jayramp::shard {

/// One worker's entry in service discovery.
struct WorkerChange {
  std::string Id;
  /// Nothing: the entry is gone.
  std::optional<scheduling::WorkerReport> Report;
  std::int64_t ClockMs = 0; ///< The worker's clock when it wrote the entry.
};

/// Service discovery of the platform.
class WorkerRegistry {
public:
  /// Changes in order; \p IsSnapshot: the list holds every worker there is.
  using Listener =
      std::function<void(const std::vector<WorkerChange> &, bool IsSnapshot)>;

  virtual ~WorkerRegistry() = default;

  /// Tells \p Changed of all workers and then of each change, until
  /// unsubscribe().
  virtual auto subscribe(Listener Changed) -> void = 0;
  virtual auto unsubscribe() -> void = 0;
  /// What was told holds every change that was made before this time.
  virtual auto completeAsOf() const -> TimePoint = 0;
};

} // namespace jayramp::shard
