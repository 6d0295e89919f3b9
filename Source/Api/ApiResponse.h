#pragma once

#include "Base/Error.h"

#include <cstdint>
#include <string>

namespace google::protobuf {
class Message;
} // namespace google::protobuf

namespace jayramp {

/// One HTTP response, sent whole.
struct ApiResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;

  /// \p Message in the JSON mapping.
  static auto json(int Status, const google::protobuf::Message &Message)
      -> ApiResponse;

  /// An ErrorReply with the status that fits the kind of \p Failure.
  /// \p WinningVersion is set for conflicts.
  static auto failure(const Error &Failure, std::uint64_t WinningVersion = 0)
      -> ApiResponse;

  static auto text(int Status, std::string Body) -> ApiResponse;
};

/// HTTP status for an error of \p Kind.
auto httpStatus(ErrorKind Kind) -> int;

} // namespace jayramp
