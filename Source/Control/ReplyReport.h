#pragma once

#include "Control/CommandLine.h"
#include "Control/EntryHostClient.h"
#include "Control/ExitCode.h"

#include <string>

namespace jayramp {

/// The output and the exit code of jayrampctl for one call.
struct ReplyReport {
  ExitCode Code = ExitCode::OutcomeUnknown;
  /// Text for standard output.
  std::string Output;
  /// Text for standard error; empty if there is nothing to report.
  std::string Diagnostic;
};

/// Returns the output and the exit code for \p Response to \p Call. The exit
/// code is OutcomeUnknown if the body is not the expected message.
auto makeReplyReport(const ControlCall &Call, const CompleteResponse &Response,
                     CommandLine::Output Format) -> ReplyReport;

} // namespace jayramp
