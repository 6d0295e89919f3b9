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

/// Coordinates claims of request keys between entry hosts. Sends each claim to
/// the key's home host, replicates the records that this host holds as home to
/// their backup host, and transfers shards to their new owners when the
/// membership view changes.
///
/// All member functions are thread-safe and never block.
class KeyCoordinator {
public:
  /// Receives the decision of the key's home host on a claim or a query.
  using ClaimCallback = std::function<void(const ClaimAnswer &)>;

  /// Registers its message handlers with \p Transport, which must be stopped
  /// before this object is destroyed. The references must outlive it.
  KeyCoordinator(std::string HostName, KeyRegistry &Registry,
                 MembershipRunner &Membership, PeerTransport &Transport,
                 TimerThread &Timer, Metrics &Counters);
  ~KeyCoordinator();
  KeyCoordinator(const KeyCoordinator &) = delete;
  auto operator=(const KeyCoordinator &) -> KeyCoordinator & = delete;

  /// Asks the home of the key for permission to dispatch the request. Calls
  /// \p Done exactly once. The decision CLAIM_DECISION_UNSPECIFIED means that
  /// the home did not reply; the caller repeats the claim with the same
  /// \p ClaimId.
  auto claim(const std::string &Account, const std::string &Key,
             const std::string &ClaimId, ClaimCallback Done) -> void;

  /// Tells the home in the current view about a claim that this host was
  /// granted in an earlier view. Calls \p Done with
  /// CLAIM_DECISION_UNSPECIFIED, CLAIM_NO_REPLICA, CLAIM_REBALANCING or
  /// CLAIM_WRONG_VIEW if the caller has to repeat the call.
  auto reassert(const std::string &Account, const std::string &Key,
                const std::string &ClaimId, ClaimCallback Done) -> void;

  /// Reports to the home how a claim ended, and repeats the report until the
  /// home in the current view acknowledges it. \p Released is true if the
  /// request did not run. \p Outcome is the serialized outcome, which is stored
  /// with the key unless the claim is released.
  auto reportOutcome(const std::string &Account, const std::string &Key,
                     const std::string &ClaimId, bool Released,
                     std::string Outcome) -> void;

  /// Asks the home for the state of a key without claiming it. Calls \p Done
  /// exactly once, with CLAIM_ABSENT if the key could be claimed and
  /// CLAIM_DECISION_UNSPECIFIED if the home did not reply.
  auto query(const std::string &Account, const std::string &Key,
             ClaimCallback Done) -> void;

  /// Adopts a membership view: switches this host to its roles in that view,
  /// ends the claims of hosts that are no longer members and sends the shards
  /// to their homes and backups. Must be called in ascending order of versions.
  auto adoptView(const std::shared_ptr<const View> &Current) -> void;

  /// Removes expired records, sends shards whose history became complete to
  /// their backups and updates the metric of the record count. Called about
  /// once a second.
  auto evictExpired() -> void;

  /// Returns the number of reports that no home has acknowledged yet.
  auto outstandingReports() const -> std::size_t;

private:
  class Implementation;

  std::shared_ptr<Implementation> Body;
};

} // namespace jayramp
