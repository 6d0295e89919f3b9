#include "Settings/SettingDescription.h"
#include "Settings/SettingsTable.h"

#include <gtest/gtest.h>

#include <set>

namespace jayramp {
namespace {

auto accepts(const SettingDescription &Setting, std::string_view Text) -> bool {
  DaemonSettings::Sections Values;
  return Setting.store(Text, Values).empty();
}

// Guards against a limit of a numeric setting that is off by one.
TEST(SettingDescriptionTest, acceptsTheLimitsOfEachRangeAndNothingBeyond) {
  int NumericSettings = 0;
  for (const auto &Setting : settingsTable()) {
    if (Setting.type() != "whole number")
      continue;
    ++NumericSettings;
    SCOPED_TRACE(Setting.Key);
    ASSERT_LT(Setting.Minimum, Setting.Maximum);
    EXPECT_TRUE(accepts(Setting, std::to_string(Setting.Minimum)));
    EXPECT_TRUE(accepts(Setting, std::to_string(Setting.Maximum)));
    EXPECT_FALSE(accepts(Setting, std::to_string(Setting.Minimum - 1)));
    EXPECT_FALSE(accepts(Setting, std::to_string(Setting.Maximum + 1)));
    for (const auto *Text : {"", "many", "1.5", "1e3", " 5", "0x10", "5ms",
                             "99999999999999999999"})
      EXPECT_FALSE(accepts(Setting, Text)) << Text;
  }
  EXPECT_EQ(NumericSettings, 25);
}

// Guards against a default that is not a valid value of its setting.
TEST(SettingDescriptionTest, everyDefaultIsAccepted) {
  for (const auto &Setting : settingsTable()) {
    if (!Setting.Default.empty()) {
      EXPECT_TRUE(accepts(Setting, Setting.Default)) << Setting.Key;
    }
    EXPECT_FALSE(Setting.Required && !Setting.Default.empty()) << Setting.Key;
  }
}

// Guards against a duration or size whose key does not end with its unit.
TEST(SettingDescriptionTest, keysOfQuantitiesEndWithTheirUnit) {
  for (const auto &Setting : settingsTable()) {
    auto HasSuffix = [&](std::string_view Suffix) {
      return Setting.Key.ends_with(Suffix);
    };
    SCOPED_TRACE(Setting.Key);
    EXPECT_EQ(Setting.Unit == "ms", HasSuffix("_ms"));
    EXPECT_EQ(Setting.Unit == "s", HasSuffix("_s"));
    EXPECT_EQ(Setting.Unit == "KiB", HasSuffix("_kib"));
    // In SettingTarget, alternative 2 is Milliseconds and 3 is seconds.
    EXPECT_EQ(Setting.Target.index() == 2, Setting.Unit == "ms");
    EXPECT_EQ(Setting.Target.index() == 3, Setting.Unit == "s");
  }
}

// Guards against a table entry that was copied without changing its key or its
// target field.
TEST(SettingDescriptionTest, noTwoSettingsShareAKeyOrATarget) {
  DaemonSettings::Sections Values;
  std::set<std::string_view> Keys;
  std::set<const void *> Targets;
  for (const auto &Setting : settingsTable()) {
    EXPECT_TRUE(Keys.insert(Setting.Key).second) << Setting.Key;
    const auto *Target = std::visit(
        [&](auto Accessor) -> const void * { return &Accessor(Values); },
        Setting.Target);
    EXPECT_TRUE(Targets.insert(Target).second) << Setting.Key;
    EXPECT_FALSE(Setting.Meaning.empty()) << Setting.Key;
    EXPECT_EQ(Setting.Meaning.find('\n'), std::string_view::npos);
  }
}

// Guards against a size in KiB that is stored without conversion to bytes.
TEST(SettingDescriptionTest, storesKibibytesAsBytes) {
  DaemonSettings::Sections Values;
  ASSERT_EQ(findSetting("api.maximum_body_kib")->store("3", Values), "");
  EXPECT_EQ(Values.Api.MaximumBodyBytes, 3072U);
}

// Guards against host names that break log lines, table rows or paths.
TEST(SettingDescriptionTest, rejectsNamesWithOtherCharacters) {
  const auto &Name = *findSetting("host.name");
  EXPECT_TRUE(accepts(Name, "entry-1.zone_A"));
  EXPECT_TRUE(accepts(Name, std::string(63, 'a')));
  EXPECT_FALSE(accepts(Name, std::string(64, 'a')));
  for (const auto *Text : {"", "a b", "a/b", "a\n", "a=b", "\xc3\xa9"})
    EXPECT_FALSE(accepts(Name, Text)) << Text;
}

} // namespace
} // namespace jayramp
