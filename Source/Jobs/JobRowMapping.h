#pragma once

#include "Base/Result.h"
#include "Jobs/JobRow.h"
#include "Jobs/WorkerDescription.h"

#include <string>
#include <vector>

namespace jayramp {

struct TableRow;

/// Text of a row of the table `jobs`.
auto serializeJobRow(const JobRow &Job) -> std::string;
/// InvalidArgument naming the row if its text cannot be read.
auto parseJobRow(const TableRow &Row) -> Result<JobRow>;

/// Text of the row `topology/workers`.
auto serializeWorkers(const std::vector<WorkerDescription> &Workers)
    -> std::string;
auto parseWorkers(const std::string &Text)
    -> Result<std::vector<WorkerDescription>>;

} // namespace jayramp
