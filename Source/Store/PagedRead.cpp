#include "Store/PagedRead.h"

#include "Base/Overloaded.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace jayramp::store {

namespace {
/// Sizes of pages in rows.
constexpr std::size_t FirstPage = 8;
constexpr std::size_t LargestPage = 500;
/// Largest factor by which a page may be larger or smaller than the last one.
constexpr double MaxPageChange = 4;
/// Time that a page should take: other calls on the link wait so long.
constexpr Milliseconds TargetPageTime{200};
} // namespace

class PagedRead::Core : public std::enable_shared_from_this<Core> {
public:
  Core(net::EventLoop &Loop, RowStore &Store, std::string Table,
       std::string Partition, PagedReadTiming Timing, Observer Callbacks)
      : Loop(Loop), Store(Store), Next{std::move(Table),
                                       std::move(Partition),
                                       {},
                                       {},
                                       FirstPage},
        Timing(Timing), Callbacks(std::move(Callbacks)) {}

  auto readPage() -> void {
    SentAt = Clock::now();
    Store.read(Next, Timing.PageTimeout,
               [Self = shared_from_this()](ReadOutcome Outcome) {
                 if (!Self->Stopped)
                   std::visit([&](auto &Case) { Self->onOutcome(Case); },
                              Outcome);
               });
  }

  auto stop() -> void {
    Stopped = true;
    RetryTimer.reset();
  }

private:
  auto onOutcome(RowPage &Page) -> void {
    Version = std::min(Version.value_or(Page.Version), Page.Version);
    const auto LastKey = Page.Rows.empty() ? "" : Page.Rows.back().Key.Key;
    std::move(Page.Rows.begin(), Page.Rows.end(), std::back_inserter(Rows));
    if (Page.More && !LastKey.empty()) {
      Next.From = LastKey + KeySuccessorSuffix;
      resizePage(Clock::now() - SentAt);
      readPage();
      return;
    }
    stop();
    Callbacks.OnDone({std::move(Rows), *Version});
  }
  auto onOutcome(const StoreRefusal &) -> void { retry(); }
  auto onOutcome(const StoreNoAnswer &) -> void {
    Ceiling = std::max<std::size_t>(1, Next.MaxRows / 2);
    resizePage(Clock::duration::max());
    retry();
  }

  /// Chooses the size of the next page after one that took \p Elapsed.
  auto resizePage(Clock::duration Elapsed) -> void {
    const auto Wanted = std::chrono::duration<double>(TargetPageTime) /
                        std::max(Elapsed, Clock::duration(1));
    const auto Factor = std::clamp(Wanted, 1 / MaxPageChange, MaxPageChange);
    const auto Rows = static_cast<double>(Next.MaxRows) * Factor;
    Next.MaxRows =
        std::clamp<std::size_t>(static_cast<std::size_t>(Rows), 1, Ceiling);
  }

  auto retry() -> void {
    RetryTimer = Loop.after(Timing.RetryDelay, [this] { readPage(); });
    if (Callbacks.OnPageFailed)
      Callbacks.OnPageFailed();
  }

  net::EventLoop &Loop;
  RowStore &Store;
  RangeQuery Next; ///< The page that is read next.
  PagedReadTiming Timing;
  Observer Callbacks;
  /// Largest size of a page; below the sizes that did not arrive in time.
  std::size_t Ceiling = LargestPage;
  TimePoint SentAt; ///< When the read of the last page was sent.
  std::vector<Row> Rows;
  std::optional<std::uint64_t> Version; ///< Lowest of the pages read so far.
  net::EventLoop::TimerHandle RetryTimer;
  bool Stopped = false;
};

PagedRead::PagedRead(net::EventLoop &Loop, RowStore &Store, std::string Table,
                     std::string Partition, PagedReadTiming Timing,
                     Observer Callbacks)
    : State(std::make_shared<Core>(Loop, Store, std::move(Table),
                                   std::move(Partition), Timing,
                                   std::move(Callbacks))) {
  State->readPage();
}

PagedRead::~PagedRead() { State->stop(); }

} // namespace jayramp::store
