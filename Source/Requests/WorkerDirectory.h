#pragma once

#include "Base/Clock.h"
#include "Platform/ListedHost.h"
#include "Platform/WorkerStatus.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jayramp {

class HostList;
class MembershipRunner;
class Metrics;
class ShardMap;
class SlotBroker;
class WorkerClient;

/// What this host knows about a worker.
struct WorkerInfo {
  ListedHost HostListEntry;
  std::string Owner; ///< Entry host that owns the worker's rack.
  /// Last answer to a status call; its name is empty if there is none.
  WorkerStatus Status;
  /// Whether the last status call was answered; only set for workers that this
  /// host owns.
  bool Reachable = false;
};

/// Polls the host list, and the status of the workers that this host owns. All
/// members are safe to call from any thread.
class WorkerDirectory {
public:
  struct Options {
    std::string HostName;
    Milliseconds HostListInterval{500};
    Milliseconds StatusInterval{1000};
    Milliseconds StatusTimeout{500};
  };
  /// Called on a thread of the directory for each status of a worker that this
  /// host owns.
  using StatusListener =
      std::function<void(const ListedHost &, const WorkerStatus &)>;

  /// The references must outlive the directory.
  WorkerDirectory(Options Settings, HostList &Hosts, WorkerClient &Workers,
                  SlotBroker &Slots, MembershipRunner &Membership,
                  Metrics &Counters);
  ~WorkerDirectory();
  WorkerDirectory(const WorkerDirectory &) = delete;
  auto operator=(const WorkerDirectory &) -> WorkerDirectory & = delete;

  /// Starts the polling threads.
  auto start() -> void;
  /// Stops the polling threads and waits for the status calls in progress.
  auto stop() -> void;

  /// Applies the owners of racks in a new view.
  auto adoptView(std::shared_ptr<const ShardMap> Owners) -> void;

  auto addStatusListener(StatusListener Listener) -> void;

  /// Returns the workers in the host list.
  auto workers() const -> std::vector<WorkerInfo>;

private:
  class Implementation;

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
