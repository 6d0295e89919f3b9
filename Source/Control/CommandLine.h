#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Control/ControlCall.h"
#include "Settings/SocketAddress.h"

#include <string>
#include <vector>

namespace jayramp {

/// The parsed and validated command line of jayrampctl.
struct CommandLine {
  enum class Output { Text, Json };

  /// Text to print for --help and --version; if it is not empty, nothing is
  /// sent.
  std::string InformationText;
  /// The id that `explain` looks for in LogFiles; if it is not empty, nothing
  /// is sent.
  std::string ExplainedId;
  std::vector<std::string> LogFiles;
  ControlCall Call;
  std::vector<SocketAddress> EntryHosts;
  Output Format = Output::Text;
  /// Time limit for the call to one entry host, from the connection attempt to
  /// the end of the response.
  Milliseconds Timeout{};

  /// Parses \p Arguments, which exclude the program name.
  /// \returns the command line, or an InvalidArgument error that names the
  /// invalid option or argument.
  static auto parse(const std::vector<std::string> &Arguments)
      -> Result<CommandLine>;
};

/// Returns the long names of all options of jayrampctl, without dashes.
auto controlOptionNames() -> std::vector<std::string>;

} // namespace jayramp
