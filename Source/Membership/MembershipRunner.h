#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Membership/Member.h"
#include "Membership/MembershipTiming.h"
#include "Membership/PeerObservation.h"
#include "Membership/ServingDecision.h"
#include "Membership/View.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jayramp {

class ConfigurationStore;
class Metrics;
class PeerTransport;
class TableService;

/// Keeps this host a member of the view: writes its heartbeat row, exchanges
/// heartbeats with the peers, removes silent members and adopts newer views and
/// configurations. All members are safe to call from any thread. View listeners
/// run on a thread of their own, in ascending order of view versions (some may
/// be skipped); they may block and may call any member except stop() and
/// leave().
class MembershipRunner {
public:
  using ViewListener =
      std::function<void(const std::shared_ptr<const View> &Previous,
                         const std::shared_ptr<const View> &Current)>;

  /// Creates a runner for the host \p Self, whose incarnation is replaced by a
  /// new one here and whenever the host rejoins after its removal. The
  /// references must outlive the runner. Registers the Heartbeat handler with
  /// \p Transport, which must be stopped before the runner is destroyed.
  /// \returns InvalidArgument if the name or the peer address is empty, or the
  /// silence limit does not exceed the confirmation window.
  static auto make(Member Self, MembershipTiming Timing, TableService &Tables,
                   PeerTransport &Transport, ConfigurationStore &Store,
                   Metrics &Registry)
      -> Result<std::unique_ptr<MembershipRunner>>;

  ~MembershipRunner();
  MembershipRunner(const MembershipRunner &) = delete;
  auto operator=(const MembershipRunner &) -> MembershipRunner & = delete;

  /// Starts the threads, which add this host to the view.
  auto start() -> void;
  /// Stops the threads without leaving the view.
  auto stop() -> void;

  auto view() const -> std::shared_ptr<const View>;
  auto incarnation() const -> std::string;
  /// Returns all incarnations of this process that the views recorded in
  /// View::recentViews() can name, oldest first; the last is incarnation().
  auto incarnations() const -> std::vector<std::string>;
  /// Returns the newest observation of each other member of the view that has
  /// answered.
  auto peerObservations() const -> std::vector<PeerObservation>;
  /// Returns whether a majority of the view, this host included, is reachable
  /// and holds the same view.
  auto hasMajority() const -> bool;
  /// Returns whether this host may serve, evaluated at the time of the call, so
  /// that a process that was paused for too long is refused at its first call.
  auto servingDecision() const -> ServingDecision;

  auto addViewListener(ViewListener Listener) -> void;
  /// Sets the number of free slots that the next heartbeats report.
  auto reportFreeSlots(std::uint32_t FreeSlots) -> void;

  /// Hands over the racks and key shards of this host by a view in which it is
  /// Leaving; its requests in progress keep their key records. Blocks until
  /// this host may serve under that view. \returns Timeout if that takes longer
  /// than \p Timeout.
  auto prepareToLeave(Milliseconds Timeout) -> Result<void>;
  /// Leaves the view. Blocks until a view without this host is confirmed.
  /// servingDecision() refuses from the start of the call. \returns Timeout if
  /// that takes longer than \p Timeout.
  auto leave(Milliseconds Timeout) -> Result<void>;

private:
  class Implementation;

  explicit MembershipRunner(std::unique_ptr<Implementation> Body);

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
