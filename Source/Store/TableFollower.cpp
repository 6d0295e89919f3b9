#include "Store/TableFollower.h"

#include "Base/SuspendAwareClock.h"
#include "Store/PagedRead.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace jayramp::store {

namespace {
constexpr Milliseconds SnapshotTimeout{1500};
} // namespace

class TableFollower::Core : public std::enable_shared_from_this<Core> {
public:
  Core(net::EventLoop &Loop, RowStore &Store, std::string Table,
       std::vector<std::string> Partitions, FollowerTiming Timing,
       Observer Callbacks)
      : Loop(Loop), Store(Store), Table(std::move(Table)),
        Partitions(std::move(Partitions)), Timing(Timing),
        Callbacks(std::move(Callbacks)) {}

  auto readSnapshot() -> void {
    SnapshotRows.clear();
    SnapshotVersion.reset();
    SentAt = suspendAwareNow();
    PendingPartitions = Partitions.size();
    for (const auto &Partition : Partitions)
      Reads.push_back(std::make_unique<PagedRead>(
          Loop, Store, Table, Partition,
          PagedReadTiming{SnapshotTimeout, Timing.RetryDelay},
          PagedRead::Observer{
              [this](PagedRead::Contents Found) { onPartition(Found); },
              [this] { reportFailedCall(); }}));
  }

  auto setPauseAfterChanges(Milliseconds Pause) -> void {
    Timing.PauseAfterChanges = Pause;
  }

  auto stop() -> void {
    Stopped = true;
    DelayTimer.reset();
    Reads.clear();
  }

private:
  auto onPartition(PagedRead::Contents &Found) -> void {
    const auto Self =
        shared_from_this(); // A callback may destroy the follower.
    // Changes made while the rows were read are reported again. This is
    // harmless because a change carries the whole row.
    SnapshotVersion =
        std::min(SnapshotVersion.value_or(Found.Version), Found.Version);
    std::move(Found.Rows.begin(), Found.Rows.end(),
              std::back_inserter(SnapshotRows));
    if (--PendingPartitions > 0)
      return;
    LastVersion = *SnapshotVersion;
    Reads.clear();
    if (Callbacks.InOrder)
      std::erase_if(SnapshotRows, [this](const Row &Each) {
        return Each.Version > LastVersion;
      });
    Callbacks.OnSnapshot(std::exchange(SnapshotRows, {}));
    if (Stopped)
      return;
    reportUpToDate(SentAt);
    if (!Stopped)
      readChanges();
  }

  auto reportFailedCall() -> void {
    const auto Self = shared_from_this();
    LastCallFailed = true;
    if (Callbacks.OnCallFailed)
      Callbacks.OnCallFailed();
  }

  auto reportUpToDate(Milliseconds AsOf) -> void {
    reportComplete(AsOf);
    if (!Stopped)
      Callbacks.OnUpToDate(AsOf);
  }

  auto reportComplete(Milliseconds AsOf) -> void {
    if (Callbacks.OnCompleteAsOf)
      Callbacks.OnCompleteAsOf(AsOf);
  }

  auto readChanges() -> void {
    SentAt = suspendAwareNow();
    // After a failed call, the store must answer at once even if nothing
    // has changed: the answer shows that the rows are up to date again.
    CallWait = std::exchange(LastCallFailed, false) ? Milliseconds(0)
                                                    : Timing.PollTimeout;
    Store.changes(Table, LastVersion, CallWait,
                  [Self = shared_from_this()](ChangesOutcome Outcome) {
                    if (!Self->Stopped)
                      std::visit([&](auto &Case) { Self->onChanges(Case); },
                                 Outcome);
                  });
  }

  auto onChanges(RowPage &Page) -> void {
    LastVersion = std::max(LastVersion, Page.Version);
    const bool Changed = !Page.Rows.empty();
    if (Changed)
      Callbacks.OnChanges(std::move(Page.Rows));
    if (Stopped)
      return;
    // The answer may be old when it is handled, for example after a pause of
    // this process. One without rows was made after the whole wait.
    reportUpToDate(Changed ? SentAt
                           : std::min(suspendAwareNow(), SentAt + CallWait));
    if (Stopped)
      return;
    if (Changed && Timing.PauseAfterChanges.count() > 0)
      DelayTimer =
          Loop.after(Timing.PauseAfterChanges, [this] { readChanges(); });
    else
      readChanges();
  }
  auto onChanges(ChangeHistoryLost &) -> void { readSnapshot(); }
  auto onChanges(StoreRefusal &) -> void {
    reportComplete(suspendAwareNow());
    retryChanges();
  }
  auto onChanges(StoreNoAnswer &) -> void { retryChanges(); }

  auto retryChanges() -> void {
    reportFailedCall();
    DelayTimer = Loop.after(Timing.RetryDelay, [this] { readChanges(); });
  }

  net::EventLoop &Loop;
  RowStore &Store;
  std::string Table;
  std::vector<std::string> Partitions;
  FollowerTiming Timing;
  Observer Callbacks;
  std::vector<Row> SnapshotRows;
  std::optional<std::uint64_t> SnapshotVersion; ///< Lowest version of any page.
  std::size_t PendingPartitions = 0;
  std::vector<std::unique_ptr<PagedRead>> Reads; ///< Of a snapshot.
  std::uint64_t LastVersion = 0;
  /// When the last call or the snapshot was started, by suspendAwareNow().
  Milliseconds SentAt{0};
  Milliseconds CallWait{0}; ///< Longest wait of the last call for a change.
  net::EventLoop::TimerHandle DelayTimer;
  bool LastCallFailed = false;
  bool Stopped = false;
};

TableFollower::TableFollower(net::EventLoop &Loop, RowStore &Store,
                             std::string Table,
                             std::vector<std::string> Partitions,
                             FollowerTiming Timing, Observer Callbacks)
    : State(std::make_shared<Core>(Loop, Store, std::move(Table),
                                   std::move(Partitions), Timing,
                                   std::move(Callbacks))) {}

TableFollower::~TableFollower() { State->stop(); }

auto TableFollower::start() -> void { State->readSnapshot(); }

auto TableFollower::setPauseAfterChanges(Milliseconds Pause) -> void {
  State->setPauseAfterChanges(Pause);
}

} // namespace jayramp::store
