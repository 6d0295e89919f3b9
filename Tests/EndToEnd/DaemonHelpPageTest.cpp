#include "EndToEnd/ChildProcess.h"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace jayramp {
namespace {

auto namesIn(const std::string &Text, const std::string &Pattern)
    -> std::set<std::string> {
  std::set<std::string> Names;
  std::regex Expression(Pattern);
  for (std::sregex_iterator Found(Text.begin(), Text.end(), Expression), End;
       Found != End; ++Found)
    Names.insert((*Found)[1]);
  return Names;
}

// Guards against options and exit codes that the page of jayrampd lacks or
// invents. The tests of settings and planned stops check the codes themselves.
TEST(DaemonHelpPageTest, pageListsOptionsAndExitCodes) {
  auto Started = ChildProcess::start({JAYRAMP_DAEMON, "--help"});
  ASSERT_TRUE(Started.has_value());
  ASSERT_EQ(Started.value().waitForExit(std::chrono::seconds(5)), 0);
  Started.value()
      .waitForLine("no such line", std::chrono::seconds(5))
      .has_value();
  std::stringstream Page;
  Page << std::ifstream(JAYRAMP_SOURCE_DIR "/Help/jayrampd.md").rdbuf();
  auto Offered = namesIn(Started.value().output(), "--([a-z-]+)");
  EXPECT_GE(Offered.size(), 4U);
  EXPECT_EQ(namesIn(Page.str(), "\\| .*`--([a-z-]+)[` ].* \\|"), Offered);
  EXPECT_EQ(namesIn(Page.str(), "\n\\| ([0-9]+) \\|"),
            (std::set<std::string>{"0", "1", "2", "3"}));
}

} // namespace
} // namespace jayramp
