#pragma once

#include "Base/Clock.h"
#include "Membership/ShardMap.h"
#include "Requests/ClaimDecision.h"
#include "Requests/KeyRegistry.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace jayramp {

class MembershipRunner;
class Metrics;
class PeerTransport;
class TimerThread;
class View;
struct ClaimAnswer;

/// Carries the claims of request keys between entry hosts: asks the home of a
/// key, replicates to the backup, passes shards on when the view changes. All
/// members are safe to call from any thread and never block.
class KeyCoordinator {
public:
  using ClaimCallback = std::function<void(const ClaimAnswer &)>;

  /// Registers its message handlers with \p Transport, which must be stopped
  /// before this object is destroyed. The references must outlive it.
  KeyCoordinator(std::string HostName, KeyRegistry &Registry,
                 MembershipRunner &Membership, PeerTransport &Transport,
                 TimerThread &Timer, Metrics &Counters);
  ~KeyCoordinator();
  KeyCoordinator(const KeyCoordinator &) = delete;
  auto operator=(const KeyCoordinator &) -> KeyCoordinator & = delete;

  /// Asks the home of the key for permission to dispatch. \p Done is called
  /// exactly once. CLAIM_DECISION_UNSPECIFIED: the home did not answer; repeat
  /// with the same \p ClaimId.
  auto claim(const std::string &Account, const std::string &Key,
             const std::string &ClaimId, ClaimCallback Done) -> void;

  /// Names a claim that this host was granted in an earlier view to the home
  /// of the current one. \p Done gets CLAIM_DECISION_UNSPECIFIED,
  /// CLAIM_NO_REPLICA, CLAIM_REBALANCING or CLAIM_WRONG_VIEW if it has to be
  /// repeated.
  auto reassert(const std::string &Account, const std::string &Key,
                const std::string &ClaimId, ClaimCallback Done) -> void;

  /// Tells the home how a claim ended and repeats it until a home of the
  /// current view acknowledges. \p Released: the request did not run.
  auto reportOutcome(const std::string &Account, const std::string &Key,
                     const std::string &ClaimId, bool Released,
                     std::string Outcome) -> void;

  /// Asks the home for the state of a key, without a claim.
  auto query(const std::string &Account, const std::string &Key,
             ClaimCallback Done) -> void;

  /// Adopts a view: takes new roles, gives up keys of lost holders and sends
  /// the shards to their new homes and backups. Called in rising order.
  auto adoptView(const std::shared_ptr<const View> &Current) -> void;

  /// Removes expired records; called about once a second.
  auto evictExpired() -> void;

  /// Reports that no home has acknowledged yet.
  auto outstandingReports() const -> std::size_t;

private:
  class Implementation;

  std::shared_ptr<Implementation> Body;
};

} // namespace jayramp
