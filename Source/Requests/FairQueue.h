#pragma once

#include "Base/Result.h"
#include "Requests/FairQueueLimits.h"
#include "Requests/PushDecision.h"
#include "Requests/QueueEntry.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jayramp {

/// Weighted fair queue of the waiting requests of one entry host. Each client
/// account is served in proportion to its weight (its share).
///
/// The shares apply within each class of work. Short work always goes first:
/// while short work alone exceeds the capacity, long work is not served and
/// expires at its deadline.
///
/// Not synchronized: the caller holds one mutex during every call, queries
/// included. A call takes O(log n) time for each entry that it moves or
/// expires.
class FairQueue {
public:
  /// Returns InvalidArgument if a limit is 0 or the default share is not above
  /// 0.
  static auto make(FairQueueLimits Limits) -> Result<FairQueue>;

  /// Sets the weight of an account. Returns false, without a change, unless
  /// \p Share is finite and above 0.
  auto setShare(std::string_view Account, double Share) -> bool;

  /// Sets the maximum number of entries of one account. Entries already queued
  /// stay. Returns false, without a change, if \p Limit is 0.
  auto setAccountLimit(std::size_t Limit) -> bool;

  /// Appends an entry, or refuses it if a limit is reached, its deadline falls
  /// before the estimated start, or its id or cost is invalid.
  auto push(const QueueEntry &Entry, TimePoint Now) -> PushDecision;

  /// Removes and returns the next entry for a free slot: short work first, long
  /// work only if \p LongAllowed. Entries whose deadline has passed are never
  /// returned here but by takeExpired().
  auto pop(bool LongAllowed, TimePoint Now) -> std::optional<QueueEntry>;

  /// Puts back an entry that pop() returned but for which no slot was found. It
  /// becomes the first of its account. Returns false if the id is queued
  /// already.
  auto pushFront(const QueueEntry &Entry) -> bool;

  /// Removes and returns an entry, for example when its caller has
  /// disconnected. Returns nothing if the id is not queued.
  auto cancel(std::uint64_t Id) -> std::optional<QueueEntry>;

  /// Moves an entry to another class, ordered there by its age. Returns false
  /// if the id is not queued.
  auto reclassify(std::uint64_t Id, WorkClass Class) -> bool;

  /// Removes and returns the entries whose deadline has passed.
  auto takeExpired(TimePoint Now) -> std::vector<QueueEntry>;

  /// Corrects an account's use of slot time: \p Cost is the time used beyond
  /// the cost of its entry, negative if less was used.
  auto charge(std::string_view Account, double Cost,
              WorkClass Class = WorkClass::Short) -> void;

  /// Returns the wait that a new entry can expect at the observed rate of
  /// pop(), or zero until a rate has been observed.
  auto estimatedWait(std::string_view Account, WorkClass Class,
                     TimePoint Now) const -> Milliseconds;
  /// Returns the earliest deadline, at which takeExpired() is due, or nothing
  /// if the queue is empty.
  auto nextDeadline() const -> std::optional<TimePoint>;
  auto size() const -> std::size_t;
  auto size(WorkClass Class) const -> std::size_t;
  auto accountSize(std::string_view Account) const -> std::size_t;

private:
  /// Ids of entries by their position in the account's queue.
  using EntriesByOrder = std::map<std::int64_t, std::uint64_t>;
  /// Virtual times and indexes of accounts; the first account is served next.
  using AccountsByVirtualTime = std::set<std::pair<double, std::size_t>>;
  struct AccountState {
    std::string Name;
    double Share = 1.0;
    std::array<double, 2> VirtualTime{};
    std::array<EntriesByOrder, 2> WaitingEntries;
  };
  struct WaitingEntry {
    QueueEntry Entry;
    std::size_t Account = 0;
    std::int64_t Order = 0;
    TimePoint QueuedAt;
  };
  /// State of one work class. `Pops` and `BacklogSeconds` decay at the same
  /// rate; their quotient is the service rate while entries were waiting.
  struct ClassState {
    AccountsByVirtualTime ActiveAccounts; ///< Accounts with entries.
    std::size_t Count = 0;
    double ActiveShare = 0.0; ///< Sum of the shares of active accounts.
    double SystemVirtualTime = 0.0;
    double Pops = 0.0;
    double BacklogSeconds = 0.0;
    TimePoint RateUpdatedAt;
    std::optional<std::uint64_t> LastCountedPop; ///< Id, for pushFront().
  };

  explicit FairQueue(FairQueueLimits Limits);

  auto findOrAddAccount(std::string_view Name) -> std::size_t;
  auto insert(const QueueEntry &Entry, std::int64_t Order, TimePoint QueuedAt)
      -> void;
  auto remove(std::uint64_t Id) -> std::optional<WaitingEntry>;
  auto setVirtualTime(std::size_t Index, std::size_t Class, double Value)
      -> void;
  auto popClass(std::size_t Class, TimePoint Now) -> std::optional<QueueEntry>;
  auto moveExpired(TimePoint Now) -> void;
  auto updateRate(std::size_t Class, TimePoint Now) -> void;

  FairQueueLimits Limits;
  std::vector<AccountState> Accounts;
  std::map<std::string, std::size_t, std::less<>> AccountIndex;
  std::unordered_map<std::uint64_t, WaitingEntry> Entries;
  std::set<std::pair<TimePoint, std::uint64_t>> Deadlines;
  std::array<ClassState, 2> Classes;
  std::vector<QueueEntry> Expired; ///< Removed; takeExpired() returns them.
  std::int64_t NextOrder = 0;
  std::int64_t NextFrontOrder = -1;
};

} // namespace jayramp
