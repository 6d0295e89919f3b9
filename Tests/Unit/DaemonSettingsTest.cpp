#include "Settings/DaemonSettings.h"

#include "Settings/SettingsTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace jayramp {
namespace {

using std::chrono::milliseconds;

constexpr const char *MinimalYaml = "host:\n"
                                    "  name: entry-1\n"
                                    "  availability_zone: a\n"
                                    "api:\n"
                                    "  address: 10.0.0.1:8080\n"
                                    "peer:\n"
                                    "  address: 10.0.0.1:8081\n"
                                    "platform:\n"
                                    "  table_address: 10.0.1.1:9001\n"
                                    "  object_address: 10.0.1.1:9002\n"
                                    "  host_list_address: 10.0.1.1:9003\n";

/// Returns the errors of \p Yaml, each of which must have a detail and a
/// remedy.
auto errorsOf(const std::string &Yaml) -> std::vector<SettingError> {
  auto Loaded = DaemonSettings::parse(Yaml, "f.yaml");
  if (Loaded.has_value())
    return {};
  for (const auto &Entry : Loaded.error()) {
    EXPECT_EQ(Entry.File, "f.yaml");
    EXPECT_FALSE(Entry.Detail.empty());
    EXPECT_FALSE(Entry.Remedy.empty());
  }
  return Loaded.error();
}

/// Returns the errors of MinimalYaml followed by \p Yaml, whose first line is
/// line 12.
auto errorsWith(const std::string &Yaml) -> std::vector<SettingError> {
  return errorsOf(MinimalYaml + Yaml);
}

auto replaceOnce(std::string Text, const std::string &From,
                 const std::string &To) -> std::string {
  auto Position = Text.find(From);
  EXPECT_NE(Position, std::string::npos) << From;
  return Text.replace(Position, From.size(), To);
}

// Guards against defaults that are not applied or that differ from the
// reference page.
TEST(DaemonSettingsTest, minimalFileUsesTheDefaults) {
  auto Loaded = DaemonSettings::parse(MinimalYaml, "f.yaml");
  ASSERT_TRUE(Loaded.has_value()) << Loaded.error().front().message();
  const auto &Settings = Loaded.value();
  EXPECT_EQ(Settings.host().Name, "entry-1");
  EXPECT_EQ(Settings.api().Advertise.text(), "10.0.0.1:8080");
  EXPECT_EQ(Settings.peer().Advertise.text(), "10.0.0.1:8081");
  EXPECT_EQ(Settings.api().MaximumBodyBytes, 4096U * 1024U);
  EXPECT_EQ(Settings.platform().Timeout, milliseconds(500));
  EXPECT_EQ(Settings.membership().StoreHeartbeatInterval, milliseconds(1000));
  EXPECT_EQ(Settings.membership().PeerHeartbeatInterval, milliseconds(500));
  EXPECT_EQ(Settings.membership().SilenceLimit, milliseconds(2500));
  EXPECT_EQ(Settings.membership().ConfirmationWindow, milliseconds(2000));
  EXPECT_EQ(Settings.workers().Slots, 8U);
  EXPECT_EQ(Settings.workers().Connections, 64U);
  EXPECT_TRUE(Settings.workers().EpochFencing);
  EXPECT_EQ(Settings.workers().StatusInterval, milliseconds(1000));
  EXPECT_EQ(Settings.workers().HostListInterval, milliseconds(500));
  EXPECT_EQ(Settings.workers().AttemptTimeout, milliseconds(30000));
  EXPECT_EQ(Settings.requests().KeyRetention, std::chrono::seconds(300));
  EXPECT_EQ(Settings.requests().MaximumKeys, 200000U);
  EXPECT_EQ(Settings.jobs().SurplusLeaseDuration, milliseconds(4000));
  EXPECT_EQ(Settings.jobs().GuaranteedLeaseDuration, milliseconds(10000));
  EXPECT_EQ(Settings.jobs().CheckpointTimeout, milliseconds(1000));
  EXPECT_EQ(Settings.jobs().ThrottleTimeout, milliseconds(500));
  EXPECT_EQ(Settings.jobs().StopTimeout, milliseconds(1000));
  EXPECT_EQ(Settings.stop().GracePeriod, milliseconds(1000));
  EXPECT_EQ(Settings.stop().Timeout, milliseconds(60000));
  EXPECT_EQ(Settings.log().Level, LogLevel::Info);
  EXPECT_EQ(Settings.threads().Http, 8U);
}

// Guards against a loader that reports only the first error.
TEST(DaemonSettingsTest, reportsEveryErrorAtOnceWithLineAndRemedy) {
  auto Errors = errorsOf("host:\n"                          // 1
                         "  name: entry 1\n"                // 2
                         "api:\n"                           // 3
                         "  address: localhost:8080\n"      // 4
                         "  maximum_body_kib: 0\n"          // 5
                         "peer:\n"                          // 6
                         "  address: 10.0.0.1:8081\n"       // 7
                         "platform:\n"                      // 8
                         "  table_address: 10.0.1.1:9001\n" // 9
                         "  object_address: 10.0.1.1\n"     // 10
                         "membership:\n"                    // 11
                         "  heartbeat_s: 1\n"               // 12
                         "  silence_ms: 2s\n"               // 13
                         "workers:\n"                       // 14
                         "  slots: 8\n"                     // 15
                         "  slots: 9\n"                     // 16
                         "  guards: yes\n"                  // 17
                         "stop:\n"                          // 18
                         "  grace_ms: 5000\n"               // 19
                         "  limit_ms: 4000\n"               // 20
                         "treads:\n"                        // 21
                         "  http: 4\n");                    // 22
  struct Expected {
    int Line;
    const char *Key;
    const char *Remedy;
  };
  const std::vector<Expected> All = {
      {1, "host.availability_zone", "add it"},
      {2, "host.name", "write 1 to 63"},
      {4, "api.address", "write an IPv4"},
      {5, "api.maximum_body_kib", "write 1 to 65536 KiB"},
      {8, "platform.host_list_address", "add it"},
      {10, "platform.object_address", "write an IPv4"},
      {12, "membership.heartbeat_s", "write membership.heartbeat_ms"},
      {13, "membership.silence_ms", "without its unit"},
      {16, "workers.slots", "remove one"},
      {17, "workers.guards", "write true or false"},
      {20, "stop.limit_ms", "raise stop.limit_ms"},
      {21, "treads", "threads"},
  };
  ASSERT_EQ(Errors.size(), All.size());
  for (std::size_t I = 0; I < All.size(); ++I) {
    SCOPED_TRACE(Errors[I].message());
    EXPECT_EQ(Errors[I].Line, All[I].Line);
    EXPECT_EQ(Errors[I].Key, All[I].Key);
    EXPECT_NE(Errors[I].Remedy.find(All[I].Remedy), std::string::npos);
  }
}

// Guards against an error message without file, line or key.
TEST(DaemonSettingsTest, messageHasFileLineKeyDetailAndRemedy) {
  auto Errors = errorsWith("threads:\n  http: 65\n");
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(Errors[0].message(), "f.yaml:13: threads.http: 65 is out of range; "
                                 "write 1 to 64");
}

// Guards against a missing required setting that is not reported.
TEST(DaemonSettingsTest, emptyMapReportsEveryMissingRequiredSetting) {
  auto Errors = errorsOf("{}");
  auto Required = std::count_if(settingsTable().begin(), settingsTable().end(),
                                [](const auto &S) { return S.Required; });
  EXPECT_EQ(Errors.size(), static_cast<std::size_t>(Required));
}

// Guards against input that is not a single YAML map but is accepted as a file
// without settings.
TEST(DaemonSettingsTest, rejectsInputThatIsNotOneMap) {
  for (const auto *Yaml : {"", "5", "- a", "~", "host: [", "a: b: c", ",", ",}",
                           "}", "]", "a: b\n}", "\t", "? [a]\n: b\n"})
    EXPECT_FALSE(errorsOf(Yaml).empty()) << Yaml;
  auto Two = errorsWith("---\nhost: {}\n");
  ASSERT_EQ(Two.size(), 1U);
  EXPECT_NE(Two[0].Detail.find("document"), std::string::npos);
}

// Guards against a syntax error that is reported without its line.
TEST(DaemonSettingsTest, syntaxErrorNamesItsLine) {
  auto Errors = errorsWith("stop: {grace_ms: 5\nlog: }\n");
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_GE(Errors[0].Line, 12);
}

// Guards against values of another type that are accepted as a number or a
// bool, and against an empty value that silently selects the default.
TEST(DaemonSettingsTest, rejectsValuesOfTheWrongType) {
  for (const auto *Value : {"'8'", "[8]", "{a: 8}", "", "~", "true", "8.0"})
    EXPECT_EQ(
        errorsWith("workers:\n  slots: " + std::string(Value) + "\n").size(),
        1U)
        << Value;
  for (const auto *Value : {"'true'", "on", "1", "True"})
    EXPECT_EQ(
        errorsWith("workers:\n  guards: " + std::string(Value) + "\n").size(),
        1U)
        << Value;
  EXPECT_EQ(errorsWith("workers: 8\n").size(), 1U);
  EXPECT_EQ(errorsWith("log:\n  level: verbose\n").size(), 1U);
}

// Guards against a repeated section that silently replaces the first one.
TEST(DaemonSettingsTest, rejectsARepeatedSection) {
  auto Errors = errorsWith("host:\n  name: entry-2\n");
  ASSERT_EQ(Errors.size(), 2U);
  EXPECT_EQ(Errors[0].Key, "host");
  EXPECT_EQ(Errors[1].Key, "host.name");
  EXPECT_NE(Errors[1].Detail.find("line 2"), std::string::npos);
}

// Guards against an unknown key whose remedy does not name the setting that was
// probably meant.
TEST(DaemonSettingsTest, unknownKeysNameTheNearestSetting) {
  auto RemedyFor = [](const std::string &Yaml) {
    auto Errors = errorsWith(Yaml);
    return Errors.size() == 1 ? Errors[0].Remedy : std::string("none");
  };
  EXPECT_EQ(RemedyFor("workers:\n  slot: 8\n"), "write workers.slots");
  EXPECT_EQ(RemedyFor("workers:\n  lease_ms: 8\n"),
            "write it as jobs.lease_ms");
  EXPECT_EQ(RemedyFor("stop:\n  grace: 1\n"),
            "write stop.grace_ms; its unit is ms");
  EXPECT_EQ(RemedyFor("stop:\n  colour: red\n"),
            "remove it; docs/settings.md lists the known keys");
}

// Guards against listeners that overlap, and against a platform address that is
// a listener of this host.
TEST(DaemonSettingsTest, rejectsConflictingAddresses) {
  auto Overlapping =
      errorsOf(replaceOnce(MinimalYaml, "10.0.0.1:8081", "0.0.0.0:8080"));
  ASSERT_FALSE(Overlapping.empty());
  EXPECT_EQ(Overlapping[0].Key, "api.address");
  auto OwnListener =
      errorsOf(replaceOnce(MinimalYaml, "10.0.1.1:9002", "10.0.0.1:8080"));
  ASSERT_EQ(OwnListener.size(), 1U);
  EXPECT_EQ(OwnListener[0].Key, "platform.object_address");
  EXPECT_EQ(OwnListener[0].Line, 10);
}

// Guards against a host that advertises 0.0.0.0 because only the address to
// listen on is set.
TEST(DaemonSettingsTest, wildcardListenerNeedsAnAdvertisedAddress) {
  auto WildcardYaml = replaceOnce(MinimalYaml, "10.0.0.1:8080", "0.0.0.0:8080");
  auto Errors = errorsOf(WildcardYaml);
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(Errors[0].Key, "api.address");
  EXPECT_NE(Errors[0].Remedy.find("api.advertise"), std::string::npos);
  EXPECT_TRUE(errorsOf(replaceOnce(WildcardYaml, "0.0.0.0:8080\n",
                                   "0.0.0.0:8080\n"
                                   "  advertise: 10.0.0.1:8080\n"))
                  .empty());
}

// Guards against an unreadable file that is reported as a file without
// settings.
TEST(DaemonSettingsTest, reportsAFileThatCannotBeRead) {
  auto Missing = DaemonSettings::load("/nonexistent/settings.yaml");
  ASSERT_FALSE(Missing.has_value());
  EXPECT_EQ(Missing.error()[0].message(),
            "/nonexistent/settings.yaml: the file cannot be opened; give the "
            "path of a readable settings file");
  auto Directory = DaemonSettings::load("/");
  ASSERT_FALSE(Directory.has_value());
  EXPECT_EQ(Directory.error()[0].Detail, "the file cannot be read");
}

// Guards against load() giving other settings than parse().
TEST(DaemonSettingsTest, loadingAFileEqualsParsingItsText) {
  auto Path = testing::TempDir() + "DaemonSettingsTest.yaml";
  std::ofstream(Path) << MinimalYaml;
  auto Loaded = DaemonSettings::load(Path);
  std::remove(Path.c_str());
  ASSERT_TRUE(Loaded.has_value());
  EXPECT_EQ(Loaded.value(), DaemonSettings::parse(MinimalYaml, "").value());
}

// Guards against control characters that reach yaml-cpp, which loops forever on
// some of them.
TEST(DaemonSettingsTest, rejectsControlCharactersWithTheirLine) {
  for (const auto *Text : {"\x04", "\x1b", "\x7f", "\xef\xbb\xbf", "\xff"}) {
    auto Errors = errorsWith("stop:\n  grace_ms: 5" + std::string(Text));
    ASSERT_EQ(Errors.size(), 1U);
    EXPECT_EQ(Errors[0].Line, 13);
  }
}

// Guards against arbitrary text that crashes the process or is accepted.
RC_GTEST_PROP(DaemonSettingsTest, arbitraryTextIsRejected,
              (const std::string &Text)) {
  auto Loaded = DaemonSettings::parse(Text, "f.yaml");
  RC_ASSERT(!Loaded.has_value());
  RC_ASSERT(!Loaded.error().empty());
}

// Guards against a corrupted settings file that crashes the process.
RC_GTEST_PROP(DaemonSettingsTest, corruptedFileNeverCrashesTheProcess, ()) {
  std::string Text = MinimalYaml;
  auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
  auto Length = *rc::gen::inRange<std::size_t>(0, 8);
  Text.replace(Position, Length, *rc::gen::arbitrary<std::string>());
  auto Loaded = DaemonSettings::parse(Text, "f.yaml");
  if (!Loaded.has_value())
    RC_ASSERT(!Loaded.error().empty());
}

} // namespace
} // namespace jayramp
