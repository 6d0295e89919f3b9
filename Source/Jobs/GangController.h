#pragma once

#include "Base/Result.h"
#include "Jobs/AsyncWorkerClient.h"
#include "Jobs/Gang.h"
#include "Jobs/GangRunner.h"
#include "Jobs/GangRunnerInputs.h"
#include "Jobs/JobRowWriteBuffer.h"
#include "Jobs/JobScheduler.h"
#include "Jobs/JobStore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jayramp {

class EventQueue;
class Metrics;

/// State and steps of a GangRunner; used by one thread. Calls that block run on
/// other threads and come back as events.
class GangController {
public:
  using StoreTask = std::function<void()>;
  /// Runs a task that may block on the thread for the store.
  using PostToStore = std::function<void(StoreTask)>;

  GangController(GangRunner::Options Settings, GangRunnerInputs Inputs,
                 JobStore &Store, WorkerClient &Workers, Metrics &Counters,
                 EventQueue &Events, PostToStore ToStore);

  /// Does all that is due. \returns when to call again without an event.
  auto step(TimePoint Now) -> TimePoint;
  auto pollSoon() -> void { NextPoll = TimePoint(); }

private:
  enum class Stage { Idle, Loading, Surveying, Acting };

  struct WorkerEntry {
    ListedWorker Listed;
    std::uint32_t Accelerators = 0; ///< 0: not known.
    bool Asked = false;             ///< A status call is in progress.
    bool CountKnown = false;        ///< The accelerator count was answered.
    bool Answered = false;          ///< Or failed, under this role.
    bool Lost = false;
    bool Renewing = false; ///< A call of a renewal round is in progress.
    TimePoint NextAsk;
    TimePoint AvoidUntil; ///< Refused a task a short time ago.
    std::string Told;     ///< State that the scheduler was told last.
  };

  // Role and takeover.
  auto followRole() -> void;
  auto beginTakeover(std::uint64_t View) -> void;
  auto rowsLoaded(const Result<std::vector<WorkerDescription>> &Published,
                  TimePoint Now) -> void;
  auto adoptRow(const JobRow &Row, TimePoint Now) -> void;
  auto finishSurvey(TimePoint Now) -> void;
  auto restoreJobs(TimePoint Now) -> void;
  auto restoreOne(const JobRow &Row, TimePoint Now) -> void;

  // Workers.
  auto refreshWorkers(TimePoint Now) -> void;
  auto readDirectory() -> void;
  auto askWorker(const std::string &Name, TimePoint Now) -> void;
  auto workerAnswered(const std::string &Name,
                      const Result<WorkerStatus> &Answer) -> void;
  auto describeWorkers() const -> std::vector<WorkerDescription>;
  auto applyTopology() -> void;
  auto refreshAccounts() -> void;
  auto topologyComplete() const -> bool;
  auto tellWorkerStates(TimePoint Now) -> void;
  auto addressOf(const std::string &Worker) const -> std::string;

  // Rows.
  auto pollRows() -> void;
  auto applyChanges() -> void;
  auto foreignRow(const JobRow &Row) -> void;
  auto flush() -> void;
  auto sendBatch(const JobRowWriteBuffer::Batch &Batch) -> void;
  auto batchDone(const JobRowWriteBuffer::Batch &Batch,
                 const Result<JobWriteResult> &Outcome) -> void;
  auto explainWaits() -> void;

  // Decisions.
  auto decide(TimePoint Now) -> void;
  auto carryOut(const StartGang &Value) -> void;
  auto carryOut(const ReclaimGangs &Value) -> void;
  auto carryOut(const StopGang &Value) -> void;
  auto carryOut(const EndJob &Value) -> void;
  auto carryOut(const QuarantineWorker &Value) -> void;
  auto reserveRow(const std::string &Job, std::uint32_t Attempt,
                  const std::vector<AcceleratorPlace> &Placement) -> void;

  // Gangs; GangControllerLifecycle.cpp.
  auto makeGang(const JobRow &Row, bool Guaranteed) const -> Gang;
  auto advance(Gang &Target, TimePoint Now) -> void;
  auto sendStep(Gang &Target, TaskVerb Verb, const char *Expected) -> void;
  auto stepAnswered(const std::string &Job, const std::string &Task,
                    const std::string &Worker, TaskVerb Verb,
                    const std::string &Expected,
                    const Result<std::vector<TaskStatus>> &Answer) -> void;
  auto beginStop(Gang &Target, StopStep First, const std::string &Cause)
      -> void;
  auto enterStopStep(Gang &Target, StopStep Step, TimePoint Now) -> void;
  auto advanceStop(Gang &Target, TimePoint Now) -> bool;
  auto sendStop(Gang &Target, TimePoint Now) -> void;
  auto stopAnswered(const std::string &Job, const std::string &Task,
                    const std::string &Worker,
                    const Result<std::vector<TaskStatus>> &Answer) -> void;
  auto stopFinished(Gang &Target) -> void;
  auto renewRound(TimePoint Now) -> void;
  auto isWhole(const Gang &Target, TimePoint Now) const -> bool;
  auto sendRenewal(const std::string &Worker, std::vector<TaskOrder> Orders)
      -> void;
  auto sendProbe(const std::string &Worker) -> void;
  auto renewed(const std::string &Worker, const std::vector<TaskOrder> &Orders,
               const Result<std::vector<TaskStatus>> &Answer) -> void;
  auto observe(Gang &Target, const std::string &Worker,
               const std::string &State) -> void;
  auto reportEnd(const Gang &Target, const std::string &Worker,
                 const std::string &State) -> void;
  auto findLostWorkers(TimePoint Now) -> void;
  auto noteFailure(const std::string &Worker, const Error &Failure) -> void;
  auto order(const Gang &Target, const std::string &Worker) const -> TaskOrder;
  auto findGang(const std::string &Job, const std::string &Task) -> Gang *;
  auto logGang(const char *Event, const Gang &Target,
               const std::string &Detail = {}) const -> void;

  const GangRunner::Options Settings;
  const GangRunnerInputs Inputs;
  JobStore &Store;
  Metrics &Counters;
  EventQueue &Events;
  const PostToStore ToStore;
  WorkerClient &Workers;
  std::unique_ptr<AsyncWorkerClient> Calls; ///< Made at the first takeover.

  Stage Current = Stage::Idle;
  SchedulerRole Role;
  std::uint64_t Epoch = 0;
  /// Epoch under which a worker or the view row has refused this host.
  std::uint64_t FencedEpoch = 0;
  std::uint64_t Generation = 0; ///< Raised by each takeover; old results end.
  bool StoreDown = false;
  bool PollInProgress = false;
  bool PublishPending = false;
  TimePoint NextListing;
  TimePoint NextPoll;
  TimePoint NextRenewal;
  TimePoint NextDecision;
  TimePoint NextExplanation;
  TimePoint NextRetry;
  TimePoint SurveyEnd;
  std::optional<JobRowWriteBuffer::Batch> Retry;
  std::uint64_t Cursor = 0;
  std::vector<AccountPolicy> Accounts;
  std::map<std::string, WorkerEntry> Directory;
  std::map<std::string, std::uint32_t> PublishedCounts;
  std::optional<JobScheduler> Scheduler;
  JobRowWriteBuffer Rows;
  std::map<std::string, Gang> Gangs; ///< By job.
};

} // namespace jayramp
