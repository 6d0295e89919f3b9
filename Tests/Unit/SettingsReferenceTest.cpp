#include "Settings/SettingsReference.h"

#include "Settings/SettingsTable.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace jayramp {
namespace {

// Guards against a setting that is added or changed without regenerating the
// reference page.
TEST(SettingsReferenceTest, pageMatchesTheSettingsTable) {
  std::ifstream File(JAYRAMP_SOURCE_DIR "/docs/settings.md");
  std::stringstream Page;
  Page << File.rdbuf();
  EXPECT_EQ(Page.str(), renderSettingsReference())
      << "run Utilities/generate-settings-page.sh";
}

// Guards against a generated page that lacks settings or repeats them.
TEST(SettingsReferenceTest, hasOneLineForEachSetting) {
  auto Page = renderSettingsReference();
  for (const auto &Setting : settingsTable()) {
    auto LineStart = "\n| `" + std::string(Setting.Key) + "` | ";
    auto Position = Page.find(LineStart);
    ASSERT_NE(Position, std::string::npos) << Setting.Key;
    EXPECT_EQ(Page.find(LineStart, Position + 1), std::string::npos)
        << Setting.Key;
  }
}

} // namespace
} // namespace jayramp
