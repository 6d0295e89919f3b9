#include "Control/ControlProgram.h"

#include "Control/CommandLine.h"
#include "Control/EntryHostClient.h"
#include "Control/LogTimeline.h"
#include "Control/ReplyReport.h"

#include <fstream>
#include <ostream>

namespace jayramp {

namespace {

/// Calls the entry hosts of \p Line in order until one gives a final result.
/// Stops after a lost response if a repeat of the call is not safe.
auto callEntryHosts(const CommandLine &Line) -> ReplyReport {
  ReplyReport LastReport{ExitCode::EntryHostUnreachable, "", ""};
  bool EarlierCallMayHaveRun = false;
  for (const auto &EntryHost : Line.EntryHosts) {
    auto Result = callEntryHost(EntryHost, Line.Call, Line.Timeout);
    if (const auto *Response = std::get_if<CompleteResponse>(&Result)) {
      auto Report = makeReplyReport(Line.Call, *Response, Line.Format);
      // An entry host called earlier, whose response was lost, may have run it.
      if (Report.Code == ExitCode::NotRun && EarlierCallMayHaveRun)
        Report.Code = ExitCode::OutcomeUnknown;
      if (Report.Code != ExitCode::NotRun)
        return Report;
      LastReport = std::move(Report);
      continue;
    }
    if (const auto *Failure = std::get_if<ResponseLost>(&Result)) {
      EarlierCallMayHaveRun = true;
      LastReport = {ExitCode::OutcomeUnknown, "",
                    EntryHost.text() +
                        ": no complete response: " + Failure->Detail +
                        "; query the state before you repeat the call"};
      if (!Line.Call.SafeToRepeat)
        return LastReport;
      continue;
    }
    if (LastReport.Code == ExitCode::EntryHostUnreachable)
      LastReport.Diagnostic =
          EntryHost.text() +
          ": cannot connect: " + std::get<ConnectFailed>(Result).Detail +
          "; start the entry host or give another --entry-host";
  }
  return LastReport;
}

/// Prints the timeline of the id of \p Line from its log files.
auto explain(const CommandLine &Line, std::ostream &Output,
             std::ostream &Diagnostics) -> ExitCode {
  LogTimeline Timeline(Line.ExplainedId);
  for (const auto &Path : Line.LogFiles) {
    std::ifstream Log(Path);
    if (!Log) {
      Diagnostics << "jayrampctl: --log: the file \"" << Path
                  << "\" cannot be read; give the path of a readable file\n";
      return ExitCode::InvalidInput;
    }
    Timeline.addLog(Log);
  }
  if (!Timeline.containsId()) {
    Diagnostics << "jayrampctl: " << Line.ExplainedId
                << ": no log line contains this id; give the logs of all entry "
                   "hosts, and check them for log-dropped events\n";
    return ExitCode::NotFound;
  }
  Timeline.print(Output);
  return ExitCode::Success;
}

} // namespace

auto runControlProgram(const std::vector<std::string> &Arguments,
                       std::ostream &Output, std::ostream &Diagnostics)
    -> ExitCode {
  auto Line = CommandLine::parse(Arguments);
  if (!Line.has_value()) {
    Diagnostics << "jayrampctl: " << Line.error().message() << '\n';
    return ExitCode::InvalidInput;
  }
  if (!Line.value().InformationText.empty()) {
    Output << Line.value().InformationText;
    return ExitCode::Success;
  }
  if (!Line.value().ExplainedId.empty())
    return explain(Line.value(), Output, Diagnostics);
  auto Report = callEntryHosts(Line.value());
  Output << Report.Output << std::flush;
  if (!Report.Diagnostic.empty())
    Diagnostics << "jayrampctl: " << Report.Diagnostic << '\n';
  return Report.Code;
}

} // namespace jayramp
