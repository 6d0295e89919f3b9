#include "Store/TableFollower.h"

#include "Base/Overloaded.h"

namespace jayramp::store {

namespace {
constexpr Milliseconds SnapshotTimeout{1500};
} // namespace

class TableFollower::Core : public std::enable_shared_from_this<Core> {
public:
  Core(net::EventLoop &Loop, RowStore &Store, std::string Table,
       std::string Partition, FollowerPace Pace, Observer Told)
      : Loop(Loop), Store(Store), Table(std::move(Table)),
        Partition(std::move(Partition)), Pace(Pace), Told(std::move(Told)) {}

  auto readSnapshot() -> void {
    Collected.clear();
    SnapshotVersion = 0;
    readPage({});
  }

  auto stop() -> void {
    Stopped = true;
    Delay.reset();
  }

private:
  auto readPage(std::string From) -> void {
    Store.read({Table, Partition, std::move(From), {}}, SnapshotTimeout,
               [Self = shared_from_this()](ReadOutcome Outcome) {
                 if (!Self->Stopped)
                   std::visit([&](auto &Case) { Self->onPage(Case); }, Outcome);
               });
  }

  auto onPage(RowPage &Page) -> void {
    // Changes made while the pages were read are told again, which is harmless:
    // a change carries the whole row.
    if (SnapshotVersion == 0)
      SnapshotVersion = Page.Version;
    for (auto &Each : Page.Rows)
      Collected.push_back(std::move(Each));
    if (Page.More && !Collected.empty()) {
      readPage(Collected.back().Key.Key + KeySuccessor);
      return;
    }
    After = SnapshotVersion;
    Told.OnSnapshot(std::move(Collected));
    Collected.clear();
    if (Stopped)
      return;
    Told.OnCurrent();
    if (!Stopped)
      readChanges();
  }
  auto onPage(StoreRefused &) -> void { retrySnapshot(); }
  auto onPage(StoreUnanswered &) -> void { retrySnapshot(); }

  auto retrySnapshot() -> void {
    Delay = Loop.after(Pace.RetryDelay, [this] { readSnapshot(); });
  }

  auto readChanges() -> void {
    Store.changes(Table, After, Pace.Wait,
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
    Told.OnCurrent();
    if (Stopped)
      return;
    if (Changed && Pace.Pause.count() > 0)
      Delay = Loop.after(Pace.Pause, [this] { readChanges(); });
    else
      readChanges();
  }
  auto onChanges(HistoryLost &) -> void { readSnapshot(); }
  auto onChanges(StoreRefused &) -> void { retryChanges(); }
  auto onChanges(StoreUnanswered &) -> void { retryChanges(); }

  auto retryChanges() -> void {
    Delay = Loop.after(Pace.RetryDelay, [this] { readChanges(); });
  }

  net::EventLoop &Loop;
  RowStore &Store;
  std::string Table;
  std::string Partition;
  FollowerPace Pace;
  Observer Told;
  std::vector<Row> Collected;
  std::uint64_t SnapshotVersion = 0;
  std::uint64_t After = 0;
  net::EventLoop::TimerHandle Delay;
  bool Stopped = false;
};

TableFollower::TableFollower(net::EventLoop &Loop, RowStore &Store,
                             std::string Table, std::string Partition,
                             FollowerPace Pace, Observer Told)
    : State(std::make_shared<Core>(Loop, Store, std::move(Table),
                                   std::move(Partition), Pace,
                                   std::move(Told))) {}

TableFollower::~TableFollower() { State->stop(); }

auto TableFollower::start() -> void { State->readSnapshot(); }

} // namespace jayramp::store
