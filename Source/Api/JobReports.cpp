#include "Api/JobReports.h"

#include "Jobs/JobRow.h"

#include "jayramp/v1/jayramp.pb.h"

namespace jayramp {

namespace {

auto toState(JobRowState State) -> v1::JobState {
  switch (State) {
  case JobRowState::Pending:
    return v1::PENDING;
  case JobRowState::Reserved:
    return v1::RESERVED;
  case JobRowState::Started:
    return v1::STARTED;
  case JobRowState::Succeeded:
    return v1::SUCCEEDED;
  case JobRowState::Failed:
    return v1::JOB_FAILED;
  case JobRowState::Cancelled:
    return v1::JOB_CANCELLED;
  case JobRowState::Rejected:
    return v1::REJECTED;
  }
  return v1::JOB_STATE_UNSPECIFIED;
}

auto toPriority(JobPriority Priority) -> v1::Priority {
  switch (Priority) {
  case JobPriority::Urgent:
    return v1::URGENT;
  case JobPriority::Guaranteed:
    return v1::GUARANTEED;
  case JobPriority::Surplus:
    return v1::SURPLUS;
  }
  return v1::PRIORITY_UNSPECIFIED;
}

} // namespace

auto toReport(const JobRow &Job) -> v1::JobReport {
  v1::JobReport Report;
  Report.set_id(Job.Specification.Id);
  Report.set_account(Job.Specification.Account);
  Report.set_key(Job.Key);
  Report.set_state(toState(Job.State));
  v1::Reason Reason = v1::REASON_UNSPECIFIED;
  if (v1::Reason_Parse(Job.Reason, &Reason))
    Report.set_reason(Reason);
  Report.set_detail(Job.Detail);
  Report.set_remedy(Job.Remedy);
  for (const auto &Place : Job.Placement) {
    auto *Added = Report.add_placement();
    Added->set_worker(Place.Worker);
    Added->set_accelerator(Place.Accelerator);
  }
  Report.set_attempt(Job.Attempt);
  Report.set_accelerators(Job.Specification.Accelerators);
  Report.set_priority(toPriority(Job.Specification.Priority));
  return Report;
}

} // namespace jayramp
