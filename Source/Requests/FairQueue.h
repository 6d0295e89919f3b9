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

/// Waiting requests of one entry host, shared among client accounts by weight.
///
/// Shares hold within each class. Short work always goes first: while it alone
/// exceeds the capacity, long work waits until its deadline.
///
/// Not synchronized: the caller holds one mutex during every call, queries
/// included. A call costs O(log n) for each entry that it moves or expires.
class FairQueue {
public:
  static auto make(FairQueueLimits Limits) -> Result<FairQueue>;

  /// Sets an account's weight; must be above 0 (false otherwise).
  auto setShare(std::string_view Account, double Share) -> bool;

  /// Changes the entries that may wait for one account; false if 0. Entries
  /// that wait already stay.
  auto setAccountLimit(std::size_t Limit) -> bool;

  auto push(const QueueEntry &Entry, TimePoint Now) -> PushDecision;

  /// Removes the next entry for a free slot: short work first, long work only
  /// if \p LongAllowed. Entries whose deadline passed are never returned; they
  /// stay until takeExpired() hands them out.
  auto pop(bool LongAllowed, TimePoint Now) -> std::optional<QueueEntry>;

  /// Puts back an entry that pop() returned but for which no slot was found;
  /// it becomes the first of its account. False if the id waits already.
  auto pushFront(const QueueEntry &Entry) -> bool;

  /// Removes an entry, for example when its caller is gone.
  auto cancel(std::uint64_t Id) -> std::optional<QueueEntry>;

  /// Moves an entry to another class; it keeps its place by age.
  auto reclassify(std::uint64_t Id, WorkClass Class) -> bool;

  /// Removes and returns the entries whose deadline passed.
  auto takeExpired(TimePoint Now) -> std::vector<QueueEntry>;

  /// Adds slot time that an account used beyond the entry's cost, or negative
  /// time that it did not use.
  auto charge(std::string_view Account, double Cost,
              WorkClass Class = WorkClass::Short) -> void;

  /// Wait that a new entry would meet by the observed rate of pop(); zero
  /// while no rate was observed.
  auto estimatedWait(std::string_view Account, WorkClass Class,
                     TimePoint Now) const -> Milliseconds;
  /// Earliest deadline, for the caller's timer.
  auto nextDeadline() const -> std::optional<TimePoint>;
  auto size() const -> std::size_t;
  auto size(WorkClass Class) const -> std::size_t;
  auto accountSize(std::string_view Account) const -> std::size_t;

private:
  using Line = std::map<std::int64_t, std::uint64_t>; ///< Order to entry id.
  using Ranking = std::set<std::pair<double, std::size_t>>;
  struct AccountState {
    std::string Name;
    double Share = 1.0;
    std::array<double, 2> VirtualTime{};
    std::array<Line, 2> Lines;
  };
  struct Waiting {
    QueueEntry Entry;
    std::size_t Account = 0;
    std::int64_t Order = 0;
    TimePoint Since;
  };
  /// One work class. `Pops` and `BusySeconds` decay together; their quotient
  /// is the service rate while entries were waiting.
  struct ClassState {
    Ranking Ready; ///< Accounts with entries, by virtual time.
    std::size_t Count = 0;
    double ActiveShare = 0.0;
    double VirtualNow = 0.0;
    double Pops = 0.0;
    double BusySeconds = 0.0;
    TimePoint MeasuredAt;
    std::optional<std::uint64_t> CountedPop;
  };

  explicit FairQueue(FairQueueLimits Limits);

  auto indexOf(std::string_view Name) -> std::size_t;
  auto insert(const QueueEntry &Entry, std::int64_t Order, TimePoint Since)
      -> void;
  auto remove(std::uint64_t Id) -> std::optional<Waiting>;
  auto setVirtualTime(std::size_t Index, std::size_t Class, double Value)
      -> void;
  auto popClass(std::size_t Class, TimePoint Now) -> std::optional<QueueEntry>;
  auto collectExpired(TimePoint Now) -> void;
  auto measure(std::size_t Class, TimePoint Now) -> void;

  FairQueueLimits Limits;
  std::vector<AccountState> Accounts;
  std::map<std::string, std::size_t, std::less<>> AccountIndex;
  std::unordered_map<std::uint64_t, Waiting> Entries;
  std::set<std::pair<TimePoint, std::uint64_t>> Deadlines;
  std::array<ClassState, 2> Classes;
  std::vector<QueueEntry>
      Expired; ///< Left the queue; takeExpired() returns them.
  std::int64_t NextOrder = 0;
  std::int64_t FrontOrder = -1;
};

} // namespace jayramp
