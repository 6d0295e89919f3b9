#include "Scenarios.h"

#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>

namespace {

using Scenario = std::function<review::Verdict(review::Cluster &,
                                               const std::string &, bool)>;

auto run(const Scenario &Chosen, const std::string &SettingsPath,
         const std::string &RecordPath, bool Trouble) -> review::Verdict {
  // Not destroyed: the threads of the stand-ins use both until the process
  // ends.
  static review::Record Output(RecordPath);
  static review::Cluster Stage(Output);
  try {
    return Chosen(Stage, SettingsPath, Trouble);
  } catch (const std::exception &Failure) {
    Output.write(std::string("stand-ins failed: ") + Failure.what());
    return review::Verdict::CouldNotRun;
  }
}

} // namespace

/// standins SCENARIO SETTINGS-FILE RECORD-FILE: plays a scenario against the
/// entry host that is started with the settings file. TROUBLE=0 in the
/// environment leaves out the disruption. The exit code is 0 if the rule held,
/// 1 if it was broken and 2 if the scenario could not run.
auto main(int ArgumentCount, char **Arguments) -> int {
  const std::map<std::string, Scenario> Scenarios{
      {"drain-and-store-outage", review::runDrainAndStoreOutage},
      {"idle-worker-cut", review::runIdleWorkerCut},
      {"store-outage-between-steps", review::runStoreOutageBetweenSteps},
      {"wide-rack-gang", review::runWideRackGang}};
  if (ArgumentCount != 4 || !Scenarios.contains(Arguments[1])) {
    std::cerr << "usage: standins SCENARIO SETTINGS-FILE RECORD-FILE\n";
    return static_cast<int>(review::Verdict::CouldNotRun);
  }
  const auto *Value = std::getenv("TROUBLE");
  const bool Trouble = !Value || std::string(Value) != "0";
  const auto Result =
      run(Scenarios.at(Arguments[1]), Arguments[2], Arguments[3], Trouble);
  _exit(static_cast<int>(Result));
}
