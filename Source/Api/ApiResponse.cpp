#include "Api/ApiResponse.h"

#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <utility>

namespace jayramp {

auto httpStatus(ErrorKind Kind) -> int {
  switch (Kind) {
  case ErrorKind::InvalidArgument:
    return 400;
  case ErrorKind::NotFound:
    return 404;
  case ErrorKind::Conflict:
    return 409;
  case ErrorKind::Rejected:
    return 422;
  case ErrorKind::Unavailable:
  case ErrorKind::Fenced:
    return 503;
  case ErrorKind::Timeout:
    return 504;
  case ErrorKind::Internal:
    return 500;
  }
  return 500;
}

auto ApiResponse::json(int Status, const google::protobuf::Message &Message)
    -> ApiResponse {
  return {Status, "application/json", renderJson(Message)};
}

auto ApiResponse::failure(const Error &Failure, std::uint64_t WinningVersion)
    -> ApiResponse {
  v1::ErrorReply Reply;
  Reply.set_kind(std::string(toString(Failure.kind())));
  Reply.set_field(Failure.place());
  Reply.set_detail(Failure.detail());
  Reply.set_remedy(Failure.remedy());
  Reply.set_winning_version(WinningVersion);
  return json(httpStatus(Failure.kind()), Reply);
}

auto ApiResponse::text(int Status, std::string Body) -> ApiResponse {
  return {Status, "text/plain; version=0.0.4", std::move(Body)};
}

} // namespace jayramp
