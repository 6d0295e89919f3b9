#pragma once

#include "Base/Clock.h"
#include "Shard/ServingConfiguration.h"

#include <map>
#include <string>
#include <vector>

namespace jayramp::shard {

/// The service that the jobs of a queue go to, and those that they went to
/// before.
struct QueueServices {
  std::string Current;
  /// As far as this process has seen them, latest first. They only say where to
  /// look first: a job's row names its service.
  std::vector<std::string> Former;
  /// Other hosts may still send jobs of the queue to a former service.
  bool ChangedRecently = false;

  auto operator==(const QueueServices &) const -> bool = default;
};

/// Remembers to which services the configurations have sent each queue since
/// this process started, also for queues that were removed.
class QueueHistory {
public:
  /// Records the services of all queues of a configuration that is in force
  /// from \p Now on.
  auto record(const ServingConfiguration &Configuration, TimePoint Now) -> void;
  /// Returns the services of a queue; an empty current one for a queue that no
  /// recorded configuration has.
  auto servicesOf(const std::string &Queue, TimePoint Now) const
      -> QueueServices;

private:
  struct Entry {
    std::string Current;
    std::vector<std::string> Former;
    TimePoint ChangedAt = TimePoint::min(); ///< When the service changed last.
    TimePoint ConfiguredAt; ///< Latest time with the queue configured.
  };

  static auto recordQueue(Entry &Known, const std::string &Service,
                          TimePoint Now) -> void;

  std::map<std::string, Entry> Entries; ///< By queue.
};

} // namespace jayramp::shard
