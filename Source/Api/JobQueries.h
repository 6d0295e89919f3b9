#pragma once

#include "Api/ApiResponse.h"

#include <string>

namespace jayramp {

class JobStore;

/// Reads of jobs. The calls block; they must not run on a thread of the HTTP
/// pool.
class JobQueries {
public:
  /// The store must outlive this object.
  explicit JobQueries(JobStore &Store);

  /// GET /v1/jobs; an empty \p Account lists all.
  auto list(const std::string &Account) -> ApiResponse;
  /// GET /v1/jobs/{id}.
  auto show(const std::string &Id) -> ApiResponse;

private:
  JobStore &Store;
};

} // namespace jayramp
