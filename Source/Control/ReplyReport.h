#pragma once

#include "Control/CommandLine.h"
#include "Control/EntryHostClient.h"
#include "Control/ExitCode.h"

#include <string>

namespace jayramp {

/// What jayrampctl prints and how it exits.
struct ReplyReport {
  ExitCode Code = ExitCode::OutcomeUnknown;
  /// For standard output.
  std::string Output;
  /// For standard error.
  std::string Diagnostic;
};

/// Judges a whole answer to \p Call. An answer that is not the message of the
/// schema is OutcomeUnknown.
auto makeReplyReport(const ControlCall &Call, const WholeAnswer &Answer,
                     CommandLine::Output Format) -> ReplyReport;

} // namespace jayramp
