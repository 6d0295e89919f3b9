#pragma once

#include "Store/RowStore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::store {

/// Combines transactions on the same partition: while one is in flight, further
/// ones wait and are then sent as one transaction. A partition applies its
/// transactions one after another, so while the store is slow, this multiplies
/// the number of changes that it can take.
class BatchingStore : public RowStore {
public:
  explicit BatchingStore(RowStore &Next)
      : State(std::make_shared<Core>(Next)) {}

  auto transact(const RowTransaction &Change, Milliseconds Timeout,
                std::function<void(TransactionOutcome)> Done) -> void override;
  auto read(RangeQuery Query, Milliseconds Timeout,
            std::function<void(ReadOutcome)> Done) -> void override;
  auto changes(std::string Table, std::uint64_t After, Milliseconds Wait,
               std::function<void(ChangesOutcome)> Done) -> void override;
  auto recentLatency() const -> Milliseconds override;
  auto available() const -> bool override;

private:
  /// A transaction of a caller.
  struct Member {
    RowTransaction Change;
    Milliseconds Timeout{0};
    TimePoint Deadline; ///< Is not sent after this time.
    std::function<void(TransactionOutcome)> Done;
  };
  struct Partition {
    bool InFlight = false;
    std::deque<Member> Waiting;
  };
  struct Core : std::enable_shared_from_this<Core> {
    explicit Core(RowStore &Next) : Next(Next) {}

    auto sendNext(const std::string &Name) -> void;
    /// Removes the members of the next transaction from the queue; those whose
    /// deadline has passed are refused.
    static auto takeBatch(Partition &Source) -> std::vector<Member>;
    auto onOutcome(const std::string &Name, std::vector<Member> Batch,
                   const TransactionOutcome &Outcome) -> void;
    /// Reports the conflict to the members that cause it and queues the others
    /// again.
    auto resolveConflict(const std::string &Name, std::vector<Member> Batch,
                         const TransactionConflict &Conflict) -> void;

    RowStore &Next;
    std::map<std::string, Partition> Partitions;
  };

  std::shared_ptr<Core> State;
};

} // namespace jayramp::store
