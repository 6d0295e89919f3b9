#pragma once

#include "Api/ApiResponse.h"

#include <string>

namespace jayramp {

class JobStore;

/// Handles the HTTP calls that read jobs. The calls block and must not run on a
/// thread of the HTTP pool. They return 503 if the table service fails.
class JobQueries {
public:
  /// \p Store must outlive this object.
  explicit JobQueries(JobStore &Store);

  /// Handles GET /v1/jobs. Lists the jobs of \p Account, or of all accounts if
  /// it is empty.
  auto list(const std::string &Account) -> ApiResponse;
  /// Handles GET /v1/jobs/{id}. Returns 404 if there is no such job.
  auto show(const std::string &Id) -> ApiResponse;

private:
  JobStore &Store;
};

} // namespace jayramp
