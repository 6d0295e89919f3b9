#include "Settings/SettingsReference.h"

#include "Settings/SettingsTable.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace jayramp {
namespace {

// Guards against a setting that is added or changed without its line on the
// reference page.
TEST(SettingsReferenceTest, pageEqualsTheTable) {
  std::ifstream File(JAYRAMP_SOURCE_DIR "/docs/settings.md");
  std::stringstream Page;
  Page << File.rdbuf();
  EXPECT_EQ(Page.str(), renderSettingsReference())
      << "run Utilities/generate-settings-page.sh";
}

// Guards against a renderer that leaves settings out.
TEST(SettingsReferenceTest, hasOneLineForEachSetting) {
  auto Page = renderSettingsReference();
  for (const auto &Setting : settingsTable()) {
    auto Cell = "\n| `" + std::string(Setting.Key) + "` | ";
    auto First = Page.find(Cell);
    ASSERT_NE(First, std::string::npos) << Setting.Key;
    EXPECT_EQ(Page.find(Cell, First + 1), std::string::npos) << Setting.Key;
  }
}

} // namespace
} // namespace jayramp
