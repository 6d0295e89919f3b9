#include "Jobs/JobEditBatcher.h"

#include "Base/Identifier.h"
#include "Base/Metrics.h"
#include "Jobs/JobStore.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace jayramp {

namespace {

constexpr std::size_t LargestBatch = 64;
// Keeps the daemon within its budget of 100 writes/s at the store.
constexpr Milliseconds BatchInterval{20};
constexpr Milliseconds RepeatInterval{100};
constexpr int ConflictLimit = 20;

} // namespace

class JobEditBatcher::Implementation {
public:
  Implementation(JobStore &Store, Metrics &Counters, Milliseconds Patience)
      : Store(Store), Counters(Counters), Patience(Patience),
        Worker([this] { run(); }) {}

  ~Implementation() {
    {
      std::lock_guard Lock(Mutex);
      Ended = true;
    }
    Changed.notify_all();
    Worker.join();
  }
  Implementation(const Implementation &) = delete;
  auto operator=(const Implementation &) -> Implementation & = delete;

  auto add(std::string Id, Edit Change, Done Then) -> void {
    {
      std::lock_guard Lock(Mutex);
      Waiting.push_back({std::move(Id), std::move(Change), std::move(Then)});
    }
    Changed.notify_all();
  }

private:
  struct Item {
    std::string Id;
    Edit Change;
    Done Then;
  };

  auto run() -> void {
    while (true) {
      auto Items = take();
      if (Items.empty())
        return;
      process(std::move(Items));
      std::this_thread::sleep_for(BatchInterval);
    }
  }

  /// Empty at the end.
  auto take() -> std::vector<Item> {
    std::unique_lock Lock(Mutex);
    Changed.wait(Lock, [this] { return Ended || !Waiting.empty(); });
    std::vector<Item> Taken;
    std::deque<Item> Rest;
    std::set<std::string> Ids;
    for (auto &Next : Waiting) {
      // A transaction writes a row once.
      if (!Ended && Taken.size() < LargestBatch && Ids.insert(Next.Id).second)
        Taken.push_back(std::move(Next));
      else
        Rest.push_back(std::move(Next));
    }
    Waiting = std::move(Rest);
    if (!Ended)
      return Taken;
    auto Abandoned = std::exchange(Waiting, {});
    Lock.unlock();
    for (const auto &Next : Abandoned)
      Next.Then({JobEditResult::WriteStatus::NotWritten, std::nullopt,
                 Error::make(ErrorKind::Unavailable, "entry host",
                             "is stopping", "send it to another entry host")});
    return {};
  }

  auto process(std::vector<Item> Items) -> void {
    const auto Limit = Clock::now() + Patience;
    // The copy in memory only saves conflicts, so a failure does not matter.
    (void)Store.refresh();
    std::map<std::string, std::optional<JobRow>> Current;
    for (const auto &Next : Items)
      Current[Next.Id] = Store.cachedRow(Next.Id);
    for (int Round = 0; Round < ConflictLimit; ++Round) {
      std::vector<JobRow> Rows;
      std::vector<Item> Left;
      for (auto &Next : Items) {
        auto Edited = Next.Change(Current[Next.Id]);
        if (!Edited) {
          Next.Then({JobEditResult::WriteStatus::Unchanged, Current[Next.Id],
                     std::nullopt});
          continue;
        }
        Rows.push_back(std::move(*Edited));
        Left.push_back(std::move(Next));
      }
      Items = std::move(Left);
      if (Items.empty() || write(Items, Rows, Current, Limit))
        return;
      Counters.count("jayramp_job_edit_conflicts_total");
    }
    finish(Items, JobEditResult::WriteStatus::NotWritten,
           Error::make(ErrorKind::Conflict, "jobs",
                       "other writers changed the row each time",
                       "repeat the call"));
  }

  /// False after a conflict.
  auto write(const std::vector<Item> &Items, std::vector<JobRow> &Rows,
             std::map<std::string, std::optional<JobRow>> &Current,
             TimePoint Limit) -> bool {
    const auto WriteId = makeIdentifier();
    bool MayHaveEffect = false;
    while (true) {
      auto Outcome = Store.write(WriteId, Rows, 0);
      if (Outcome) {
        if (const auto *Lost =
                std::get_if<JobWriteConflict>(&Outcome.value())) {
          for (const auto &Row : Lost->Current)
            Current[Row.Specification.Id] = Row;
          return false;
        }
        const auto &Versions =
            std::get<JobWriteSuccess>(Outcome.value()).Versions;
        for (std::size_t Index = 0; Index < Items.size(); ++Index) {
          if (Index < Versions.size())
            Rows[Index].Version = Versions[Index];
          Items[Index].Then(
              {JobEditResult::WriteStatus::Written, Rows[Index], std::nullopt});
        }
        return true;
      }
      MayHaveEffect =
          MayHaveEffect || Outcome.error().kind() != ErrorKind::Unavailable;
      Counters.count("jayramp_job_edit_retries_total");
      if (Clock::now() >= Limit) {
        finish(Items,
               MayHaveEffect ? JobEditResult::WriteStatus::Unknown
                             : JobEditResult::WriteStatus::NotWritten,
               Outcome.error());
        return true;
      }
      std::this_thread::sleep_for(RepeatInterval);
    }
  }

  static auto finish(const std::vector<Item> &Items,
                     JobEditResult::WriteStatus Kind, const Error &Failure)
      -> void {
    for (const auto &Next : Items)
      Next.Then({Kind, std::nullopt, Failure});
  }

  JobStore &Store;
  Metrics &Counters;
  const Milliseconds Patience;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Item> Waiting;
  bool Ended = false;
  std::thread Worker;
};

JobEditBatcher::JobEditBatcher(JobStore &Store, Metrics &Counters,
                               Milliseconds Patience)
    : Body(std::make_unique<Implementation>(Store, Counters, Patience)) {}

JobEditBatcher::~JobEditBatcher() = default;

auto JobEditBatcher::add(std::string Id, Edit Change, Done Then) -> void {
  Body->add(std::move(Id), std::move(Change), std::move(Then));
}

} // namespace jayramp
