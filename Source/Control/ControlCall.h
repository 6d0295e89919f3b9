#pragma once

#include <string>

namespace jayramp {

/// The protobuf message that the body of a successful response contains, as
/// JSON.
enum class ReplyType {
  RequestOutcome,
  KeyReport,
  JobReport,
  JobList,
  ConfigurationReport,
  ClientAccount,
  StatusReport,
  Text, ///< Not a message; printed unchanged.
};

/// One HTTP call to an entry host.
struct ControlCall {
  std::string Method;
  std::string Path;
  /// JSON text; empty for a call without a body.
  std::string Body;
  ReplyType ExpectedReply = ReplyType::Text;
  /// True if the call may be repeated when the response was lost and the first
  /// attempt may have taken effect.
  bool SafeToRepeat = false;
  /// False if the call is addressed to one particular entry host and exactly
  /// one must be given.
  bool AcceptsAnyEntryHost = true;
};

} // namespace jayramp
