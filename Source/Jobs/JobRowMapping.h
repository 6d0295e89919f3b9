#pragma once

#include "Base/Result.h"
#include "Jobs/JobRow.h"
#include "Jobs/WorkerDescription.h"

#include <string>
#include <vector>

namespace jayramp {

struct TableRow;

/// Returns the JSON text of a row of the table `jobs`.
auto serializeJobRow(const JobRow &Job) -> std::string;
/// Parses a row of the table `jobs`. Returns InvalidArgument with the name of
/// the row if the text is malformed or its id or state is not valid.
auto parseJobRow(const TableRow &Row) -> Result<JobRow>;

/// Returns the JSON text of the row `topology/workers`.
auto serializeWorkers(const std::vector<WorkerDescription> &Workers)
    -> std::string;
/// Parses the row `topology/workers`. Returns InvalidArgument if the text is
/// malformed.
auto parseWorkers(const std::string &Text)
    -> Result<std::vector<WorkerDescription>>;

} // namespace jayramp
