#include "Api/JobCommands.h"

#include "Api/FieldChecks.h"
#include "Api/JobReports.h"
#include "Configuration/Configuration.h"
#include "Configuration/ConfigurationQueries.h"
#include "Jobs/AccountPolicyMapping.h"
#include "Jobs/JobEditBatcher.h"
#include "Jobs/JobScheduler.h"
#include "Jobs/JobStore.h"
#include "Jobs/Topology.h"
#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <chrono>
#include <utility>

namespace jayramp {

namespace {

// Time for which a topology that was read is used. The published topology
// changes with the host list, a few times an hour.
constexpr Milliseconds FitCheckerLifetime{2000};
constexpr std::uint32_t RetryAfterMs = 1000;

auto toPriority(v1::Priority Priority) -> JobPriority {
  switch (Priority) {
  case v1::URGENT:
    return JobPriority::Urgent;
  case v1::GUARANTEED:
    return JobPriority::Guaranteed;
  default:
    return JobPriority::Surplus;
  }
}

auto checkFields(const v1::SubmitJob &Job) -> Result<void> {
  BOOST_OUTCOME_TRYV(checkName("account", Job.account()));
  BOOST_OUTCOME_TRYV(checkName("key", Job.key()));
  BOOST_OUTCOME_TRYV(
      checkRange("accelerators", Job.accelerators(), 1, Topology::MaxGangSize));
  if (Job.priority() == v1::PRIORITY_UNSPECIFIED)
    return Error::make(ErrorKind::InvalidArgument, "priority",
                       "the field is missing",
                       "set priority to URGENT, GUARANTEED or SURPLUS");
  return success();
}

auto toRow(const v1::SubmitJob &Job) -> JobRow {
  JobRow Row;
  Row.Specification = {.Id = JobStore::jobId(Job.account(), Job.key()),
                       .Account = Job.account(),
                       .Accelerators = Job.accelerators(),
                       .Priority = toPriority(Job.priority()),
                       .Adjacent = Job.adjacent(),
                       .DeclaredRunTime = Milliseconds(
                           static_cast<std::int64_t>(Job.declared_run_ms()))};
  Row.Key = Job.key();
  Row.Detail = "the scheduler has not looked at the job yet";
  Row.Remedy = "none needed; it is looked at within a second";
  Row.SubmittedMs = std::chrono::duration_cast<Milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  return Row;
}

/// Returns the row with the cancellation recorded, or nullopt if the job has
/// ended or is already being cancelled.
auto cancelledRow(const JobRow &Job) -> std::optional<JobRow> {
  if (Job.isFinal() || Job.CancelRequested)
    return std::nullopt;
  JobRow Changed = Job;
  Changed.CancelRequested = true;
  if (Job.State == JobRowState::Pending) {
    Changed.State = JobRowState::Cancelled;
    Changed.Reason = toString(WaitReason::Cancelled);
    Changed.Detail = "cancelled by the caller";
    Changed.Remedy = "submit it again under a new key";
    Changed.Payload.clear();
  }
  return Changed;
}

auto cancelResponse(const std::string &Id, const JobEditResult &Result)
    -> ApiResponse {
  if (Result.Failure)
    return ApiResponse::failure(Error::make(
        ErrorKind::Unavailable, "table service", Result.Failure->detail(),
        "repeat the call; cancelling twice has no further effect"));
  if (!Result.Row)
    return ApiResponse::failure(
        Error::make(ErrorKind::NotFound, "id", "there is no job '" + Id + "'",
                    "use the id that the submission returned"));
  if (Result.Row->isFinal() && Result.Row->State != JobRowState::Cancelled)
    return ApiResponse::failure(Error::make(
        ErrorKind::Conflict, "id", "the job '" + Id + "' has already ended",
        "read its report with GET /v1/jobs/" + Id));
  return ApiResponse::json(200, toReport(*Result.Row));
}

} // namespace

JobCommands::JobCommands(std::string HostName, JobStore &Store,
                         JobEditBatcher &Writes,
                         const ConfigurationQueries &Settings,
                         std::function<void()> OnRowsChanged)
    : HostName(std::move(HostName)), Store(Store), Writes(Writes),
      Settings(Settings), OnRowsChanged(std::move(OnRowsChanged)) {}

JobCommands::~JobCommands() = default;

auto JobCommands::submit(const std::string &Body, const Respond &Done) -> void {
  v1::SubmitJob Submission;
  auto Checked = parseJson(Body, Submission);
  if (Checked)
    Checked = checkFields(Submission);
  if (Checked)
    Checked = checkAccountExists(Settings, Submission.account());
  if (!Checked)
    return Done(ApiResponse::failure(Checked.error()));
  auto Row = toRow(Submission);
  const auto Account = Submission.account();
  const auto Key = Submission.key();
  auto Prepared = checkTopologyFit(Row.Specification);
  if (!Prepared && Prepared.error().kind() != ErrorKind::Unavailable &&
      Prepared.error().kind() != ErrorKind::Timeout)
    return Done(ApiResponse::failure(Prepared.error()));
  if (Prepared)
    Prepared = Store.storePayload(Row, Submission.payload());
  // A stored payload without a job row has no effect, so the job was not run.
  if (!Prepared)
    return Done(storeFailureResponse(Account, Key,
                                     {JobEditResult::WriteStatus::NotWritten,
                                      std::nullopt, Prepared.error()}));
  auto AddIfAbsent =
      [Row](const std::optional<JobRow> &Existing) -> std::optional<JobRow> {
    return Existing ? std::nullopt : std::optional<JobRow>(Row);
  };
  Writes.add(
      Row.Specification.Id, std::move(AddIfAbsent),
      [this, Account, Key, Specification = Row.Specification,
       Done](const JobEditResult &Result) {
        if (Result.Failure)
          return Done(storeFailureResponse(Account, Key, Result));
        if (!(Result.Row->Specification == Specification))
          return Done(ApiResponse::failure(Error::make(
              ErrorKind::Conflict, "key",
              "a different job was submitted under the key '" + Key + "'",
              "use a new key for a different job")));
        const bool IsNew = Result.Status == JobEditResult::WriteStatus::Written;
        Done(ApiResponse::json(IsNew ? 201 : 200, toReport(*Result.Row)));
        OnRowsChanged();
      });
}

auto JobCommands::cancel(const std::string &Id, const Respond &Done) -> void {
  Writes.add(
      Id,
      [](const std::optional<JobRow> &Existing) -> std::optional<JobRow> {
        return Existing ? cancelledRow(*Existing) : std::nullopt;
      },
      [this, Id, Done](const JobEditResult &Result) {
        Done(cancelResponse(Id, Result));
        OnRowsChanged();
      });
}

auto JobCommands::checkTopologyFit(const JobSpecification &Job)
    -> Result<void> {
  std::lock_guard Lock(Mutex);
  auto Current = Settings.current();
  if (!FitChecker || Clock::now() >= FitCheckerExpiry ||
      FitCheckerConfigurationVersion != Current->version()) {
    BOOST_OUTCOME_TRY(Workers, Store.readTopology());
    if (Workers.empty())
      // No scheduler has published a topology yet. The scheduler checks the job
      // once there is one.
      return success();
    BOOST_OUTCOME_TRY(Installed, Topology::make(std::move(Workers)));
    FitChecker = std::make_unique<JobScheduler>(
        JobScheduler::make(std::move(Installed), toAccountPolicies(*Current)));
    FitCheckerConfigurationVersion = Current->version();
    FitCheckerExpiry = Clock::now() + FitCheckerLifetime;
  }
  return FitChecker->checkSubmission(Job);
}

auto JobCommands::storeFailureResponse(const std::string &Account,
                                       const std::string &Key,
                                       const JobEditResult &Result) const
    -> ApiResponse {
  v1::RequestOutcome Outcome;
  Outcome.set_account(Account);
  Outcome.set_key(Key);
  Outcome.set_reason(v1::STORE_UNAVAILABLE);
  Outcome.set_entry_host(HostName);
  Outcome.set_retry_after_ms(RetryAfterMs);
  if (Result.Failure)
    Outcome.set_detail(Result.Failure->detail());
  if (Result.Status == JobEditResult::WriteStatus::Unknown) {
    Outcome.set_outcome(v1::UNKNOWN);
    Outcome.set_remedy("repeat the call with the same key; this never submits "
                       "the job twice");
  } else {
    Outcome.set_outcome(v1::NOT_RUN);
    Outcome.set_remedy("repeat the call when the table service is available");
  }
  return ApiResponse::json(503, Outcome);
}

} // namespace jayramp
