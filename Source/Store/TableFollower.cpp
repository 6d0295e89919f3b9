#include "Store/TableFollower.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace jayramp::store {

namespace {
constexpr Milliseconds SnapshotTimeout{1500};
} // namespace

class TableFollower::Core : public std::enable_shared_from_this<Core> {
public:
  Core(net::EventLoop &Loop, RowStore &Store, std::string Table,
       std::vector<std::string> Partitions, FollowerTiming Pace, Observer Told)
      : Loop(Loop), Store(Store), Table(std::move(Table)),
        Partitions(std::move(Partitions)), Pace(Pace), Told(std::move(Told)) {}

  auto readSnapshot() -> void {
    Collected.clear();
    SnapshotVersion.reset();
    ++Attempt;
    SentAt = Clock::now();
    PartitionsLeft = Partitions.size();
    for (const auto &Partition : Partitions)
      readPage(Partition, {});
  }

  auto stop() -> void {
    Stopped = true;
    Delay.reset();
  }

private:
  auto readPage(const std::string &Partition, std::string From) -> void {
    Store.read({Table, Partition, std::move(From), {}}, SnapshotTimeout,
               [Self = shared_from_this(), Partition,
                Number = Attempt](ReadOutcome Outcome) {
                 if (Self->Stopped || Number != Self->Attempt)
                   return;
                 if (auto *Page = std::get_if<RowPage>(&Outcome))
                   Self->onPage(Partition, *Page);
                 else
                   Self->retrySnapshot();
               });
  }

  auto onPage(const std::string &Partition, RowPage &Page) -> void {
    // Changes made while the pages were read are told again, which is harmless:
    // a change carries the whole row.
    SnapshotVersion =
        std::min(SnapshotVersion.value_or(Page.Version), Page.Version);
    const auto Last = Page.Rows.empty() ? "" : Page.Rows.back().Key.Key;
    for (auto &Each : Page.Rows)
      Collected.push_back(std::move(Each));
    if (Page.More && !Last.empty()) {
      readPage(Partition, Last + KeySuccessorSuffix);
      return;
    }
    if (--PartitionsLeft > 0)
      return;
    After = *SnapshotVersion;
    Told.OnSnapshot(std::exchange(Collected, {}));
    if (Stopped)
      return;
    complete(SentAt);
    Told.OnUpToDate();
    if (!Stopped)
      readChanges();
  }

  auto interrupted() -> void {
    Interrupted = true;
    if (Told.OnCallFailed)
      Told.OnCallFailed();
  }

  auto retrySnapshot() -> void {
    ++Attempt;
    interrupted();
    Delay = Loop.after(Pace.RetryDelay, [this] { readSnapshot(); });
  }

  auto complete(TimePoint AsOf) -> void {
    if (Told.OnCompleteAsOf)
      Told.OnCompleteAsOf(AsOf);
  }

  auto readChanges() -> void {
    SentAt = Clock::now();
    // After a failure the first answer must not wait for a change.
    const auto Wait =
        std::exchange(Interrupted, false) ? Milliseconds(0) : Pace.Wait;
    Store.changes(Table, After, Wait,
                  [Self = shared_from_this()](ChangesOutcome Outcome) {
                    if (!Self->Stopped)
                      std::visit([&](auto &Case) { Self->onChanges(Case); },
                                 Outcome);
                  });
  }

  auto onChanges(RowPage &Page) -> void {
    After = std::max(After, Page.Version);
    const bool Changed = !Page.Rows.empty();
    if (Changed)
      Told.OnChanges(std::move(Page.Rows));
    if (Stopped)
      return;
    // An answer with rows may have been long on its way.
    complete(Changed ? SentAt : Clock::now());
    Told.OnUpToDate();
    if (Stopped)
      return;
    if (Changed && Pace.Pause.count() > 0)
      Delay = Loop.after(Pace.Pause, [this] { readChanges(); });
    else
      readChanges();
  }
  auto onChanges(ChangeHistoryLost &) -> void { readSnapshot(); }
  auto onChanges(StoreRefusal &) -> void {
    complete(Clock::now());
    retryChanges();
  }
  auto onChanges(StoreNoAnswer &) -> void { retryChanges(); }

  auto retryChanges() -> void {
    interrupted();
    Delay = Loop.after(Pace.RetryDelay, [this] { readChanges(); });
  }

  net::EventLoop &Loop;
  RowStore &Store;
  std::string Table;
  std::vector<std::string> Partitions;
  FollowerTiming Pace;
  Observer Told;
  std::vector<Row> Collected;
  std::optional<std::uint64_t> SnapshotVersion; ///< Of the oldest page.
  std::size_t PartitionsLeft = 0;
  unsigned Attempt = 0; ///< Answers to earlier ones are ignored.
  std::uint64_t After = 0;
  TimePoint SentAt; ///< When the last call, or the snapshot, began.
  net::EventLoop::TimerHandle Delay;
  bool Interrupted = false; ///< The last call failed.
  bool Stopped = false;
};

TableFollower::TableFollower(net::EventLoop &Loop, RowStore &Store,
                             std::string Table,
                             std::vector<std::string> Partitions,
                             FollowerTiming Pace, Observer Told)
    : State(std::make_shared<Core>(Loop, Store, std::move(Table),
                                   std::move(Partitions), Pace,
                                   std::move(Told))) {}

TableFollower::~TableFollower() { State->stop(); }

auto TableFollower::start() -> void { State->readSnapshot(); }

} // namespace jayramp::store
