#pragma once

#include <string>

namespace jayramp {

/// The message that a successful answer carries.
enum class ReplyMessage {
  RequestOutcome,
  KeyReport,
  JobReport,
  JobList,
  ConfigurationReport,
  ClientAccount,
  StatusReport,
  Text, ///< Passed on as it is.
};

/// One HTTP call to an entry host.
struct ControlCall {
  std::string Method;
  std::string Path;
  /// JSON; empty for a call without body.
  std::string Body;
  ReplyMessage Reply = ReplyMessage::Text;
  /// True if the call may be sent again although it may have taken effect.
  bool Repeatable = false;
  /// False if the call concerns exactly one entry host.
  bool AnyEntryHost = true;
};

} // namespace jayramp
