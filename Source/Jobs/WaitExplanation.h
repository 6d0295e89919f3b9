#pragma once

#include "Jobs/WaitReason.h"

namespace jayramp {

struct JobRecord;
struct SchedulerState;

/// Why the job does not run, with detail and remedy; Reason is None if it runs.
auto explainWait(const SchedulerState &State, const JobRecord &Job)
    -> WaitReport;

} // namespace jayramp
