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

/// A worker as this host knows it.
struct WorkerInfo {
  ListedHost HostListEntry;
  std::string Owner; ///< Entry host that owns its rack.
  /// Newest answer to a status call; empty name if there is none.
  WorkerStatus Status;
  bool Reachable = false; ///< Only known for workers that this host owns.
};

/// Reads the host list and asks the workers that this host owns for their
/// state. All members are safe to call from any thread.
class WorkerDirectory {
public:
  struct Options {
    std::string HostName;
    Milliseconds HostListInterval{500};
    Milliseconds StatusInterval{1000};
    Milliseconds StatusTimeout{500};
  };
  /// Called on a thread of the directory for each answer of an own worker.
  using StatusListener =
      std::function<void(const ListedHost &, const WorkerStatus &)>;

  /// The references must outlive the directory.
  WorkerDirectory(Options Settings, HostList &Hosts, WorkerClient &Workers,
                  SlotBroker &Slots, MembershipRunner &Membership,
                  Metrics &Counters);
  ~WorkerDirectory();
  WorkerDirectory(const WorkerDirectory &) = delete;
  auto operator=(const WorkerDirectory &) -> WorkerDirectory & = delete;

  auto start() -> void;
  /// Ends the threads; blocks until the calls in progress have ended.
  auto stop() -> void;

  /// Adopts the owners of a view.
  auto adoptView(std::shared_ptr<const ShardMap> Owners) -> void;

  auto addStatusListener(StatusListener Added) -> void;

  auto workers() const -> std::vector<WorkerInfo>;

private:
  class Implementation;

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
