#include "EndToEnd/ChildProcess.h"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace jayramp {
namespace {

/// Returns the distinct first groups of all matches of \p Pattern in \p Text.
auto matchesIn(const std::string &Text, const std::string &Pattern)
    -> std::set<std::string> {
  std::set<std::string> Matches;
  std::regex Expression(Pattern);
  for (std::sregex_iterator Found(Text.begin(), Text.end(), Expression), End;
       Found != End; ++Found)
    Matches.insert((*Found)[1]);
  return Matches;
}

// Guards against options and exit codes of jayrampd that its manual page omits,
// and against ones that only the page has. BadSettingsTest and PlannedStopTest
// check that the daemon returns these exit codes.
TEST(DaemonHelpPageTest, manualPageListsTheOptionsAndExitCodesOfTheDaemon) {
  auto Daemon = ChildProcess::start({JAYRAMP_DAEMON, "--help"});
  ASSERT_TRUE(Daemon.has_value());
  ASSERT_EQ(Daemon.value().waitForExit(std::chrono::seconds(5)), 0);
  // Reads the output to its end, since no line begins with this prefix.
  Daemon.value()
      .waitForLine("no such line", std::chrono::seconds(5))
      .has_value();
  std::stringstream ManualPage;
  ManualPage << std::ifstream(JAYRAMP_SOURCE_DIR "/Help/jayrampd.md").rdbuf();
  auto OptionsInHelpOutput = matchesIn(Daemon.value().output(), "--([a-z-]+)");
  EXPECT_GE(OptionsInHelpOutput.size(), 4U);
  EXPECT_EQ(matchesIn(ManualPage.str(), "\\| .*`--([a-z-]+)[` ].* \\|"),
            OptionsInHelpOutput);
  EXPECT_EQ(matchesIn(ManualPage.str(), "\n\\| ([0-9]+) \\|"),
            (std::set<std::string>{"0", "1", "2", "3"}));
}

} // namespace
} // namespace jayramp
