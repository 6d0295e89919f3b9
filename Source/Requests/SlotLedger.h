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

/// Slots of the workers that this host owns.
///
/// A slot in use that no grant explains is "foreign": granted by an earlier
/// owner, or by this one to a holder that is gone. It stays counted until the
/// worker's status shows that it is free.
///
/// Not synchronized: the caller holds one mutex during every call, queries
/// included; the same mutex may guard WorkerHealth.
class SlotLedger {
public:
  /// Share of its normal traffic that a worker may get, 0 to 1. See
  /// WorkerHealth::trafficShare().
  using TrafficShareFunction = std::function<double(std::string_view Worker)>;

  static auto make(SlotPolicy Policy) -> Result<SlotLedger>;

  /// Changes the limits of long work; grants in use stay. False, without a
  /// change, if a value is out of range.
  auto setLongLimits(std::uint32_t LongPercent, Milliseconds ShortLimit)
      -> bool;

  /// Takes over a worker. It gets no work before its first status. Repeats
  /// only update the address.
  auto addWorker(std::string_view Worker, std::string_view Address) -> void;

  /// Forgets a worker that another host owns now, with its grants.
  auto removeWorker(std::string_view Worker) -> void;

  /// Epoch of later grants: the view version.
  auto setEpoch(std::uint64_t NewEpoch) -> void;

  /// Applies a worker's own status. False if the worker is not owned, or the
  /// status is older than the last one.
  auto applyStatus(const SlotStatus &Status, TimePoint Now) -> bool;

  /// An answer says that the worker leaves: no new grants until a later status
  /// says otherwise.
  auto markLeaving(std::string_view Worker) -> void;

  /// What the host list says of a worker. A status cannot undo it, as the
  /// worker may not know yet that it leaves.
  auto setLeavingInHostList(std::string_view Worker, bool Leaving) -> void;

  /// Grants a slot; a repeat with the same id returns the same grant.
  /// \p Excluded names a worker to avoid, for a retry; may be empty.
  auto grant(const SlotGrantRequest &Ask, const TrafficShareFunction &Share,
             std::string_view Excluded, TimePoint Now) -> SlotDecision;

  /// Ends a grant; \p Latency is of the worker's answer to short work.
  /// Nothing if the grant is not known (released before).
  auto release(std::string_view GrantId, std::optional<Milliseconds> Latency)
      -> std::optional<SlotGrant>;

  /// Ends the grants of holders outside \p Live. Their slots stay counted as
  /// foreign, because the worker may still run the requests.
  auto releaseGrantsOfLostHolders(const std::set<std::string> &Live,
                                  TimePoint Now) -> std::vector<SlotGrant>;

  /// Counts short grants past the short limit as long and returns them.
  auto reclassifyOverdueGrants(TimePoint Now) -> std::vector<SlotGrant>;

  auto freeSlots() const -> std::uint32_t;
  auto freeLongSlots() const -> std::uint32_t;
  auto freeSlots(std::string_view Worker) const -> std::uint32_t;
  auto unattributedSlots(std::string_view Worker) const -> std::uint32_t;
  auto usedSlots(std::string_view Worker) const -> std::uint32_t;
  auto workers() const -> std::vector<std::string>;
  auto findGrant(std::string_view GrantId) const -> std::optional<SlotGrant>;
  /// Slots that long work may hold on a worker with \p Slots slots.
  auto longSlotLimit(std::uint32_t Slots) const -> std::uint32_t;

private:
  struct Worker {
    std::string Address;
    std::uint32_t Slots = 0;
    std::uint32_t Granted = 0;
    std::uint32_t Long = 0;
    std::uint32_t Foreign = 0;
    bool Known = false;         ///< A status arrived since the takeover.
    bool Leaving = false;       ///< By the worker's own answers.
    bool ListedLeaving = false; ///< By the host list.
    double LatencyMs = 0.0;     ///< Moving average; 0 before the first answer.
    bool Measured = false;      ///< LatencyMs is newer than the last status.
    TimePoint LastStatus;
    TimePoint ForeignSince; ///< Older statuses do not lower Foreign.
  };
  using WorkerMap = std::map<std::string, Worker, std::less<>>;

  explicit SlotLedger(SlotPolicy Policy);

  auto freeOf(const Worker &Entry) const -> std::uint32_t;
  auto freeLongOf(const Worker &Entry) const -> std::uint32_t;
  auto choose(const std::vector<WorkerMap::iterator> &Usable,
              const std::vector<double> &Shares) -> WorkerMap::iterator;
  auto settledGrants(std::string_view Name, TimePoint At) const
      -> std::uint32_t;

  SlotPolicy Policy;
  std::uint64_t Epoch = 0;
  WorkerMap Workers;
  std::map<std::string, SlotGrant, std::less<>> Grants;
  std::mt19937_64 Random;
};

} // namespace jayramp
