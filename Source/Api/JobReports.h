#pragma once

namespace jayramp::v1 {
class JobReport;
} // namespace jayramp::v1

namespace jayramp {

struct JobRow;

/// What callers see of a job.
auto toReport(const JobRow &Job) -> v1::JobReport;

} // namespace jayramp
