#pragma once

#include "Base/Error.h"

#include <cstdint>
#include <string>

namespace google::protobuf {
class Message;
} // namespace google::protobuf

namespace jayramp {

/// A complete HTTP response.
struct ApiResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;

  /// Returns a response with \p Message as JSON.
  static auto json(int Status, const google::protobuf::Message &Message)
      -> ApiResponse;

  /// Returns a response with \p Failure as an ErrorReply in JSON and the status
  /// httpStatus(). \p WinningVersion is the current configuration version if
  /// the error is a version conflict, else 0.
  static auto failure(const Error &Failure, std::uint64_t WinningVersion = 0)
      -> ApiResponse;

  /// Returns a plain text response.
  static auto text(int Status, std::string Body) -> ApiResponse;
};

/// Returns the HTTP status for an error of \p Kind.
auto httpStatus(ErrorKind Kind) -> int;

} // namespace jayramp
