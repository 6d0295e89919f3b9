#pragma once

#include "Base/Result.h"
#include "Requests/SlotDecision.h"
#include "Requests/SlotGrantRequest.h"
#include "Requests/SlotPolicy.h"
#include "Requests/SlotStatus.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <vector>

namespace jayramp {

/// Accounts for the slots of the workers that this host owns.
///
/// A slot in use without a grant in this ledger is called unattributed: an
/// earlier owner granted it, or this host granted it to a holder that was lost.
/// It counts as used until the worker's status shows that it is free.
///
/// Not synchronized: the caller holds one mutex during every call, queries
/// included. The same mutex may guard WorkerHealth.
class SlotLedger {
public:
  /// Returns the share of its normal traffic that a worker may get, 0 to 1. See
  /// WorkerHealth::trafficShare().
  using TrafficShareFunction = std::function<double(std::string_view Worker)>;

  /// Returns InvalidArgument if a value of \p Policy is out of range.
  static auto make(SlotPolicy Policy) -> Result<SlotLedger>;

  /// Sets the limits of long work; existing grants stay. Returns false, without
  /// a change, if a value is out of range.
  auto setLongLimits(std::uint32_t LongPercent, Milliseconds ShortLimit)
      -> bool;

  /// Adds a worker that this host owns now. It gets no work before its first
  /// status. Repeated calls only update the address.
  auto addWorker(std::string_view Worker, std::string_view Address) -> void;

  /// Removes a worker that another host owns now, and its grants.
  auto removeWorker(std::string_view Worker) -> void;

  /// Sets the epoch of later grants, which is the view version. It never
  /// decreases.
  auto setEpoch(std::uint64_t NewEpoch) -> void;

  /// Applies the status that a worker reported. Returns false if this host does
  /// not own the worker or the status is not newer than the last one.
  auto applyStatus(const SlotStatus &Status, TimePoint Now) -> bool;

  /// Stops new grants for a worker that refused a request because it is
  /// leaving, until a later status says otherwise.
  auto markLeaving(std::string_view Worker) -> void;

  /// Sets whether the host list marks the worker as leaving. A status does not
  /// clear this, as the worker may not know yet that it is leaving.
  auto setLeavingInHostList(std::string_view Worker, bool Leaving) -> void;

  /// Grants a slot. A repeated request with the same id returns the same grant.
  /// \p Excluded names a worker that a retry should avoid; may be empty.
  auto grant(const SlotGrantRequest &Request, const TrafficShareFunction &Share,
             std::string_view Excluded, TimePoint Now) -> SlotDecision;

  /// Ends and returns a grant, or returns nothing if the id is unknown, for
  /// example because it was released before. \p Latency is the time until the
  /// worker answered, for short work only.
  auto release(std::string_view GrantId, std::optional<Milliseconds> Latency)
      -> std::optional<SlotGrant>;

  /// Ends and returns the grants of holders outside \p LiveIncarnations. Their
  /// slots count as unattributed, because the workers may still run the
  /// requests.
  auto releaseGrantsOfLostHolders(const std::set<std::string> &LiveIncarnations,
                                  TimePoint Now) -> std::vector<SlotGrant>;

  /// Changes short grants older than the short limit to long and returns them.
  auto reclassifyOverdueGrants(TimePoint Now) -> std::vector<SlotGrant>;

  auto freeSlots() const -> std::uint32_t;
  auto freeLongSlots() const -> std::uint32_t;
  auto freeSlots(std::string_view Worker) const -> std::uint32_t;
  auto unattributedSlots(std::string_view Worker) const -> std::uint32_t;
  auto usedSlots(std::string_view Worker) const -> std::uint32_t;
  auto workers() const -> std::vector<std::string>;
  auto findGrant(std::string_view GrantId) const -> std::optional<SlotGrant>;
  /// Returns how many of a worker's \p Slots slots long work may use.
  auto longSlotLimit(std::uint32_t Slots) const -> std::uint32_t;

private:
  struct Worker {
    std::string Address;
    std::uint32_t Slots = 0;
    std::uint32_t GrantedSlots = 0;
    std::uint32_t LongSlots = 0;
    std::uint32_t Unattributed = 0;
    bool StatusReceived = false;      ///< Since this host owns the worker.
    bool Leaving = false;             ///< As the worker itself reports.
    bool LeavingInHostList = false;   ///< As the host list says.
    double LatencyMs = 0.0;           ///< Moving average; 0: no answer yet.
    bool MeasuredSinceStatus = false; ///< LatencyMs has changed since.
    TimePoint LastStatus;
    /// Statuses requested before this time do not lower Unattributed.
    TimePoint UnattributedSince;
  };
  using WorkerMap = std::map<std::string, Worker, std::less<>>;

  explicit SlotLedger(SlotPolicy Policy);

  auto freeSlotsOf(const Worker &Entry) const -> std::uint32_t;
  auto freeLongSlotsOf(const Worker &Entry) const -> std::uint32_t;
  /// Chooses the less loaded of two random workers.
  auto chooseWorker(const std::vector<WorkerMap::iterator> &Usable,
                    const std::vector<double> &Shares) -> WorkerMap::iterator;
  /// Returns the grants of a worker old enough at \p At to show in its status.
  auto countSettledGrants(std::string_view Name, TimePoint At) const
      -> std::uint32_t;

  SlotPolicy Policy;
  std::uint64_t Epoch = 0;
  WorkerMap Workers;
  std::map<std::string, SlotGrant, std::less<>> Grants;
  std::mt19937_64 Random;
};

} // namespace jayramp
