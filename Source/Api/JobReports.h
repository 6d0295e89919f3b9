#pragma once

namespace jayramp::v1 {
class JobReport;
} // namespace jayramp::v1

namespace jayramp {

struct JobRow;

/// Returns the report of a job that callers receive.
auto toReport(const JobRow &Job) -> v1::JobReport;

} // namespace jayramp
