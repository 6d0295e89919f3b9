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

/// Keeps this host in the view: writes its heartbeat, exchanges heartbeats with
/// the peers, removes silent members and adopts newer views and configurations.
/// All members are safe to call from any thread. Listeners run on one thread of
/// their own, in rising order of versions (some may be skipped); they may block
/// and may call any member except stop() and leave().
class MembershipRunner {
public:
  using ViewListener =
      std::function<void(const std::shared_ptr<const View> &Previous,
                         const std::shared_ptr<const View> &Current)>;

  /// \p Self is this host; its incarnation is replaced by a new one at the
  /// start and whenever the host joins again after its removal. The references
  /// must outlive the runner. Registers the Heartbeat handler with
  /// \p Transport; the transport must be stopped before the runner is
  /// destroyed.
  static auto make(Member Self, MembershipTiming Timing, TableService &Tables,
                   PeerTransport &Transport, ConfigurationStore &Store,
                   Metrics &Registry)
      -> Result<std::unique_ptr<MembershipRunner>>;

  ~MembershipRunner();
  MembershipRunner(const MembershipRunner &) = delete;
  auto operator=(const MembershipRunner &) -> MembershipRunner & = delete;

  /// Starts the threads; this host joins the view.
  auto start() -> void;
  /// Ends the threads without leaving the view.
  auto stop() -> void;

  auto view() const -> std::shared_ptr<const View>;
  auto incarnation() const -> std::string;
  /// All incarnations of this process that a recorded view can name, oldest
  /// first; the last is incarnation().
  auto incarnations() const -> std::vector<std::string>;
  /// Newest observation of each other member of the view that has answered.
  auto peerObservations() const -> std::vector<PeerObservation>;
  /// True while a majority of the view, this host included, is in contact and
  /// has not reported a newer view.
  auto hasMajority() const -> bool;
  /// Whether this host may serve, judged at the time of the call, so that a
  /// process that was paused is refused by its first question.
  auto servingDecision() const -> ServingDecision;

  auto addViewListener(ViewListener Added) -> void;
  /// Free slots that the next heartbeats report.
  auto reportFreeSlots(std::uint32_t FreeSlots) -> void;

  /// Hands racks and key shards over, by a view in which this host is Leaving;
  /// its requests in progress keep their key records. Blocks until this host
  /// serves under that view. \returns Timeout if the time is up first.
  auto prepareToLeave(Milliseconds Timeout) -> Result<void>;
  /// Leaves the view. Blocks until a view without this host is confirmed.
  /// servingDecision() refuses from the start of the call. \returns Timeout if
  /// the time is up first.
  auto leave(Milliseconds Timeout) -> Result<void>;

private:
  class Implementation;

  explicit MembershipRunner(std::unique_ptr<Implementation> Body);

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
