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

constexpr std::size_t MaxBatchRows = 64;
// Limits the transactions to the budget of the daemon, 100 writes per second to
// the store.
constexpr Milliseconds BatchInterval{20};
constexpr Milliseconds WriteRetryInterval{100};
constexpr int MaxConflicts = 20;

} // namespace

class JobEditBatcher::Implementation {
public:
  Implementation(JobStore &Store, Metrics &Counters, Milliseconds WriteTimeout)
      : Store(Store), Counters(Counters), WriteTimeout(WriteTimeout),
        Thread([this] { processQueue(); }) {}

  ~Implementation() {
    {
      std::lock_guard Lock(Mutex);
      Stopping = true;
    }
    QueueChanged.notify_all();
    Thread.join();
  }
  Implementation(const Implementation &) = delete;
  auto operator=(const Implementation &) -> Implementation & = delete;

  auto add(std::string Id, EditFunction Edit, DoneCallback OnDone) -> void {
    {
      std::lock_guard Lock(Mutex);
      Queue.push_back({std::move(Id), std::move(Edit), std::move(OnDone)});
    }
    QueueChanged.notify_all();
  }

private:
  struct QueuedEdit {
    std::string Id;
    EditFunction Edit;
    DoneCallback OnDone;
  };

  auto processQueue() -> void {
    while (true) {
      auto Edits = takeBatch();
      if (Edits.empty())
        return;
      applyEdits(std::move(Edits));
      std::this_thread::sleep_for(BatchInterval);
    }
  }

  /// Waits for edits and returns at most MaxBatchRows, or none if the batcher
  /// is stopping.
  auto takeBatch() -> std::vector<QueuedEdit> {
    std::unique_lock Lock(Mutex);
    QueueChanged.wait(Lock, [this] { return Stopping || !Queue.empty(); });
    std::vector<QueuedEdit> Batch;
    std::deque<QueuedEdit> Remaining;
    std::set<std::string> Ids;
    for (auto &Next : Queue) {
      // A transaction can write each row only once.
      if (!Stopping && Batch.size() < MaxBatchRows &&
          Ids.insert(Next.Id).second)
        Batch.push_back(std::move(Next));
      else
        Remaining.push_back(std::move(Next));
    }
    Queue = std::move(Remaining);
    if (!Stopping)
      return Batch;
    auto Abandoned = std::exchange(Queue, {});
    Lock.unlock();
    for (const auto &Next : Abandoned)
      Next.OnDone(
          {JobEditResult::WriteStatus::NotWritten, std::nullopt,
           Error::make(ErrorKind::Unavailable, "entry host", "is stopping",
                       "send it to another entry host")});
    return {};
  }

  auto applyEdits(std::vector<QueuedEdit> Edits) -> void {
    const auto Deadline = Clock::now() + WriteTimeout;
    // A failure can be ignored: outdated rows only cause conflicts below.
    (void)Store.refresh();
    std::map<std::string, std::optional<JobRow>> CurrentRows;
    for (const auto &Next : Edits)
      CurrentRows[Next.Id] = Store.cachedRow(Next.Id);
    for (int Round = 0; Round < MaxConflicts; ++Round) {
      std::vector<JobRow> Rows;
      std::vector<QueuedEdit> ToWrite;
      for (auto &Next : Edits) {
        auto Edited = Next.Edit(CurrentRows[Next.Id]);
        if (!Edited) {
          Next.OnDone({JobEditResult::WriteStatus::Unchanged,
                       CurrentRows[Next.Id], std::nullopt});
          continue;
        }
        Rows.push_back(std::move(*Edited));
        ToWrite.push_back(std::move(Next));
      }
      Edits = std::move(ToWrite);
      if (Edits.empty() || writeRows(Edits, Rows, CurrentRows, Deadline))
        return;
      Counters.count("jayramp_job_edit_conflicts_total");
    }
    failAll(Edits, JobEditResult::WriteStatus::NotWritten,
            Error::make(ErrorKind::Conflict, "jobs",
                        "other writers changed the row each time",
                        "repeat the call"));
  }

  /// Writes the rows and completes their edits; returns false after a conflict,
  /// with the rows of other writers in \p CurrentRows.
  auto writeRows(const std::vector<QueuedEdit> &Edits,
                 std::vector<JobRow> &Rows,
                 std::map<std::string, std::optional<JobRow>> &CurrentRows,
                 TimePoint Deadline) -> bool {
    const auto WriteId = makeIdentifier();
    bool MayHaveEffect = false;
    while (true) {
      auto WriteOutcome = Store.write(WriteId, Rows, 0);
      if (WriteOutcome) {
        if (const auto *Conflict =
                std::get_if<JobWriteConflict>(&WriteOutcome.value())) {
          for (const auto &Row : Conflict->CurrentRows)
            CurrentRows[Row.Specification.Id] = Row;
          return false;
        }
        const auto &Versions =
            std::get<JobWriteSuccess>(WriteOutcome.value()).Versions;
        for (std::size_t Index = 0; Index < Edits.size(); ++Index) {
          if (Index < Versions.size())
            Rows[Index].Version = Versions[Index];
          Edits[Index].OnDone(
              {JobEditResult::WriteStatus::Written, Rows[Index], std::nullopt});
        }
        return true;
      }
      MayHaveEffect = MayHaveEffect ||
                      WriteOutcome.error().kind() != ErrorKind::Unavailable;
      Counters.count("jayramp_job_edit_retries_total");
      if (Clock::now() >= Deadline) {
        failAll(Edits,
                MayHaveEffect ? JobEditResult::WriteStatus::Unknown
                              : JobEditResult::WriteStatus::NotWritten,
                WriteOutcome.error());
        return true;
      }
      std::this_thread::sleep_for(WriteRetryInterval);
    }
  }

  static auto failAll(const std::vector<QueuedEdit> &Edits,
                      JobEditResult::WriteStatus Status, const Error &Failure)
      -> void {
    for (const auto &Next : Edits)
      Next.OnDone({Status, std::nullopt, Failure});
  }

  JobStore &Store;
  Metrics &Counters;
  const Milliseconds WriteTimeout;
  std::mutex Mutex;
  std::condition_variable QueueChanged;
  std::deque<QueuedEdit> Queue;
  bool Stopping = false;
  std::thread Thread;
};

JobEditBatcher::JobEditBatcher(JobStore &Store, Metrics &Counters,
                               Milliseconds WriteTimeout)
    : Impl(std::make_unique<Implementation>(Store, Counters, WriteTimeout)) {}

JobEditBatcher::~JobEditBatcher() = default;

auto JobEditBatcher::add(std::string Id, EditFunction Edit, DoneCallback OnDone)
    -> void {
  Impl->add(std::move(Id), std::move(Edit), std::move(OnDone));
}

} // namespace jayramp
