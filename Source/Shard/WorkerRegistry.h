#pragma once

#include "Base/Clock.h"
#include "Scheduling/WorkerReport.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jayramp::shard {

/// A new, changed or removed entry of a worker in service discovery.
struct WorkerChange {
  std::string Id;
  /// Absent if the entry was removed.
  std::optional<scheduling::WorkerReport> Report;
  std::int64_t ClockMs = 0; ///< Worker's clock when it wrote the entry.
  /// A time, on the clock of suspendAwareNow(), before which the entry was not
  /// written; absent if its age is unknown, as it is in a snapshot.
  std::optional<Milliseconds> WrittenAfter;
};

/// Reports the workers in the platform's service discovery.
class WorkerRegistry {
public:
  /// Receives changes in order. If \p IsSnapshot is true, the list holds all
  /// registered workers.
  using Listener =
      std::function<void(const std::vector<WorkerChange> &, bool IsSnapshot)>;

  virtual ~WorkerRegistry() = default;

  /// Calls \p Changed with a snapshot and then with each change, until
  /// unsubscribe().
  virtual auto subscribe(Listener Changed) -> void = 0;
  virtual auto unsubscribe() -> void = 0;
  /// Returns a time, on the clock of suspendAwareNow(), such that all changes
  /// made before it have been reported.
  virtual auto completeAsOf() const -> Milliseconds = 0;
};

} // namespace jayramp::shard
