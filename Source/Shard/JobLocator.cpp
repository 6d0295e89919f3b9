#include "Shard/JobLocator.h"

#include "Base/EventLog.h"
#include "Shard/ShardRows.h"
#include "Shard/StoreAttempt.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace jayramp::shard {

namespace {

auto preferredJournal(const std::string &Service, const std::string &Job)
    -> std::string {
  const ShardRows Rows(Service);
  return Rows.journalPartitions().at(Rows.preferredJournalIndex(Job));
}

/// Returns the service that a job row names; empty if it cannot be decoded.
auto serviceOf(const store::Row &JobRow) -> std::string {
  const auto Spec = decodeJob(JobRow.Value);
  return Spec ? Spec.value().Service : std::string();
}

} // namespace

/// One search for the rows of a job.
struct JobLocator::Search {
  std::string Job;
  TimePoint Deadline;
  Callback Done;
  std::vector<std::string> Services; ///< Those whose journals are searched.
  std::size_t Remaining = 0;         ///< Reads without an answer yet.
  bool Failed = false;               ///< A partition could not be read.
  bool ReadsAll = false;             ///< Beyond the preferred partitions.
  std::optional<store::Row> Progress;
  /// The job row that was stored first: it decides whose job this is.
  std::optional<store::Row> FirstJobRow;
};

auto JobLocator::locate(const QueueServices &Services, const std::string &Job,
                        TimePoint Deadline, Callback Done) -> void {
  const auto Call = std::make_shared<Search>();
  Call->Job = Job;
  Call->Deadline = Deadline;
  Call->Done = std::move(Done);
  Call->Services = {Services.Current};
  Call->Services.insert(Call->Services.end(), Services.Former.begin(),
                        Services.Former.end());
  readPreferredJournals(Call);
}

auto JobLocator::readPreferredJournals(const SearchPointer &Call) -> void {
  std::vector<std::string> Journals;
  for (const auto &Service : Call->Services)
    Journals.push_back(preferredJournal(Service, Call->Job));
  if (std::any_of(Journals.begin(), Journals.end(), [this](const auto &Each) {
        return Health.failedRecently(Each);
      })) {
    readAllPartitions(Call);
    return;
  }
  Call->Remaining = Journals.size();
  for (const auto &Journal : Journals)
    readRow(Call, ShardRows::progressKey(Journal, Call->Job), [this, Call] {
      if (Call->Progress)
        reportProgress(*Call);
      else
        readAllPartitions(Call);
    });
}

auto JobLocator::readAllPartitions(const SearchPointer &Call) -> void {
  std::vector<store::RowKey> Keys;
  for (const auto &Service : Call->Services)
    for (const auto &Journal : ShardRows(Service).journalPartitions())
      Keys.push_back(ShardRows::progressKey(Journal, Call->Job));
  for (const auto &Intake : ShardRows::intakePartitions())
    Keys.push_back(ShardRows::jobKey(Intake, Call->Job));
  Call->ReadsAll = true;
  Call->Failed = false;
  Call->Remaining = Keys.size();
  for (const auto &Key : Keys)
    readRow(Call, Key, [this, Call] { readJournalsOfRowsService(Call); });
}

auto JobLocator::readJournalsOfRowsService(const SearchPointer &Call) -> void {
  const auto Service =
      Call->FirstJobRow ? serviceOf(*Call->FirstJobRow) : std::string();
  const auto &Searched = Call->Services;
  if (Call->Progress || Service.empty() ||
      std::find(Searched.begin(), Searched.end(), Service) != Searched.end()) {
    report(*Call);
    return;
  }
  Call->Services.push_back(Service);
  const auto Journals = ShardRows(Service).journalPartitions();
  Call->Remaining = Journals.size();
  for (const auto &Journal : Journals)
    readRow(Call, ShardRows::progressKey(Journal, Call->Job),
            [Call] { report(*Call); });
}

auto JobLocator::readRow(const SearchPointer &Call, const store::RowKey &Key,
                         std::function<void()> OnAllRead) -> void {
  const auto OnPage =
      [this, Call, Partition = Key.Partition,
       OnAllRead = std::move(OnAllRead)](const store::ReadOutcome &Outcome) {
        const auto *Page = std::get_if<store::RowPage>(&Outcome);
        if (!Page && !Call->ReadsAll)
          Health.recordFailure(Partition);
        Call->Failed = Call->Failed || !Page;
        if (Page && !Page->Rows.empty())
          recordRow(*Call, Page->Rows.front());
        if (--Call->Remaining == 0)
          OnAllRead();
      };
  const auto Remaining = remainingUntil(Call->Deadline);
  if (Remaining < MinTimeForAttempt || !Store.available())
    OnPage(store::StoreRefusal{"not sent"});
  else
    Store.read(store::singleRowQuery(Key), attemptTimeout(Store, Remaining),
               OnPage);
}

auto JobLocator::recordRow(Search &Call, store::Row Found) -> void {
  if (Found.Key.Table == ShardRows::ProgressTable)
    Call.Progress = std::move(Found);
  else if (!Call.FirstJobRow || Found.Version < Call.FirstJobRow->Version)
    Call.FirstJobRow = std::move(Found);
}

auto JobLocator::report(const Search &Call) -> void {
  if (Call.Progress) {
    reportProgress(Call);
    return;
  }
  if (Call.Failed) {
    Call.Done(CallOutcome::NotExecuted, {});
    return;
  }
  if (!Call.FirstJobRow) {
    Call.Done(CallOutcome::NotFound, {});
    return;
  }
  const auto Service = serviceOf(*Call.FirstJobRow);
  Call.Done(CallOutcome::Done,
            {Service.empty() ? Call.Services.front() : Service,
             scheduling::JobState::Pending});
}

auto JobLocator::reportProgress(const Search &Call) -> void {
  const auto &Row = *Call.Progress;
  const auto Decoded = decodeProgress(Row.Value);
  if (!Decoded) {
    logEvent(LogLevel::Error, "progress-row-malformed",
             {{"job", Row.Key.Key}, {"error", Decoded.error().message()}});
    Call.Done(CallOutcome::Unknown, {});
    return;
  }
  const auto Owns = [&](const std::string &Service) {
    const auto Journals = ShardRows(Service).journalPartitions();
    return std::find(Journals.begin(), Journals.end(), Row.Key.Partition) !=
           Journals.end();
  };
  const auto Service =
      std::find_if(Call.Services.begin(), Call.Services.end(), Owns);
  Call.Done(CallOutcome::Done, {*Service, Decoded.value().State});
}

} // namespace jayramp::shard
