#include "Api/JobQueries.h"

#include "Api/JobReports.h"
#include "Jobs/JobStore.h"

#include "jayramp/v1/jayramp.pb.h"

namespace jayramp {

namespace {

auto storeFailureResponse(const Error &Cause) -> ApiResponse {
  return ApiResponse::failure(
      Error::make(ErrorKind::Unavailable, "table service", Cause.detail(),
                  "repeat the call when the table service is available"));
}

} // namespace

JobQueries::JobQueries(JobStore &Store) : Store(Store) {}

auto JobQueries::list(const std::string &Account) -> ApiResponse {
  auto Refreshed = Store.refresh();
  if (!Refreshed)
    return storeFailureResponse(Refreshed.error());
  v1::JobList List;
  for (const auto &Job : Store.cachedRows())
    if (Account.empty() || Job.Specification.Account == Account)
      *List.add_jobs() = toReport(Job);
  return ApiResponse::json(200, List);
}

auto JobQueries::show(const std::string &Id) -> ApiResponse {
  auto Row = Store.read(Id);
  if (!Row)
    return storeFailureResponse(Row.error());
  if (!Row.value())
    return ApiResponse::failure(
        Error::make(ErrorKind::NotFound, "id", "there is no job '" + Id + "'",
                    "use the id that the submission returned"));
  return ApiResponse::json(200, toReport(*Row.value()));
}

} // namespace jayramp
