#pragma once

#include "Jobs/WaitReason.h"

namespace jayramp {

struct JobRecord;
struct SchedulerState;

/// Returns why the job does not run, with a detail and a remedy for the user;
/// Reason is None if it runs.
auto explainWait(const SchedulerState &State, const JobRecord &Job)
    -> WaitReport;

} // namespace jayramp
