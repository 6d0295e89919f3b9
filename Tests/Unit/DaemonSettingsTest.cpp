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

constexpr const char *Minimal = "host:\n"
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

auto faultsOf(const std::string &Yaml) -> std::vector<SettingError> {
  auto Loaded = DaemonSettings::parse(Yaml, "f.yaml");
  if (Loaded.has_value())
    return {};
  for (const auto &Fault : Loaded.error()) {
    EXPECT_EQ(Fault.File, "f.yaml");
    EXPECT_FALSE(Fault.Detail.empty());
    EXPECT_FALSE(Fault.Remedy.empty());
  }
  return Loaded.error();
}

/// \p Minimal with \p Yaml after it; the first added line is line 12.
auto faultsWith(const std::string &Yaml) -> std::vector<SettingError> {
  return faultsOf(Minimal + Yaml);
}

auto replaced(std::string Text, const std::string &From, const std::string &To)
    -> std::string {
  auto At = Text.find(From);
  EXPECT_NE(At, std::string::npos) << From;
  return Text.replace(At, From.size(), To);
}

// Guards against defaults that differ from the ones in the reference page.
TEST(DaemonSettingsTest, minimalFileTakesTheDefaults) {
  auto Loaded = DaemonSettings::parse(Minimal, "f.yaml");
  ASSERT_TRUE(Loaded.has_value()) << Loaded.error().front().message();
  const auto &Settings = Loaded.value();
  EXPECT_EQ(Settings.host().Name, "entry-1");
  EXPECT_EQ(Settings.api().Advertise.text(), "10.0.0.1:8080");
  EXPECT_EQ(Settings.peer().Advertise.text(), "10.0.0.1:8081");
  EXPECT_EQ(Settings.api().MaximumBodyBytes, 4096U * 1024U);
  EXPECT_EQ(Settings.platform().Timeout, milliseconds(500));
  EXPECT_EQ(Settings.membership().HeartbeatInterval, milliseconds(1000));
  EXPECT_EQ(Settings.membership().PeerHeartbeatInterval, milliseconds(500));
  EXPECT_EQ(Settings.membership().SilenceTimeout, milliseconds(2500));
  EXPECT_EQ(Settings.membership().MaximumConfirmationAge, milliseconds(2000));
  EXPECT_EQ(Settings.workers().Slots, 8U);
  EXPECT_EQ(Settings.workers().Connections, 64U);
  EXPECT_TRUE(Settings.workers().EpochFencing);
  EXPECT_EQ(Settings.workers().StatusInterval, milliseconds(1000));
  EXPECT_EQ(Settings.workers().HostListInterval, milliseconds(500));
  EXPECT_EQ(Settings.workers().AttemptTimeout, milliseconds(30000));
  EXPECT_EQ(Settings.requests().KeyRetention, std::chrono::seconds(300));
  EXPECT_EQ(Settings.requests().MaximumKeys, 200000U);
  EXPECT_EQ(Settings.jobs().SurplusLeaseDuration, milliseconds(4000));
  EXPECT_EQ(Settings.jobs().LeaseDuration, milliseconds(10000));
  EXPECT_EQ(Settings.jobs().CheckpointTimeout, milliseconds(1000));
  EXPECT_EQ(Settings.jobs().ThrottleDuration, milliseconds(500));
  EXPECT_EQ(Settings.jobs().StopTimeout, milliseconds(1000));
  EXPECT_EQ(Settings.stop().GracePeriod, milliseconds(1000));
  EXPECT_EQ(Settings.stop().Timeout, milliseconds(60000));
  EXPECT_EQ(Settings.log().Level, LogLevel::Info);
  EXPECT_EQ(Settings.threads().Http, 8U);
}

// Guards against a loader that stops at the first fault.
TEST(DaemonSettingsTest, reportsEveryFaultAtOnceWithLineAndRemedy) {
  auto Faults = faultsOf("host:\n"                          // 1
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
  ASSERT_EQ(Faults.size(), All.size());
  for (std::size_t I = 0; I < All.size(); ++I) {
    SCOPED_TRACE(Faults[I].message());
    EXPECT_EQ(Faults[I].Line, All[I].Line);
    EXPECT_EQ(Faults[I].Key, All[I].Key);
    EXPECT_NE(Faults[I].Remedy.find(All[I].Remedy), std::string::npos);
  }
}

// Guards against a fault whose text lacks its place.
TEST(DaemonSettingsTest, messageHasFileLineKeyDetailAndRemedy) {
  auto Faults = faultsWith("threads:\n  http: 65\n");
  ASSERT_EQ(Faults.size(), 1U);
  EXPECT_EQ(Faults[0].message(), "f.yaml:13: threads.http: 65 is out of range; "
                                 "write 1 to 64");
}

// Guards against a required setting that is silently left empty.
TEST(DaemonSettingsTest, emptyMapMissesEveryRequiredSetting) {
  auto Faults = faultsOf("{}");
  auto Required = std::count_if(settingsTable().begin(), settingsTable().end(),
                                [](const auto &S) { return S.Required; });
  EXPECT_EQ(Faults.size(), static_cast<std::size_t>(Required));
}

// Guards against input of another kind that is read as no settings.
TEST(DaemonSettingsTest, refusesWhatIsNotOneMap) {
  for (const auto *Yaml : {"", "5", "- a", "~", "host: [", "a: b: c", ",", ",}",
                           "}", "]", "a: b\n}", "\t", "? [a]\n: b\n"})
    EXPECT_FALSE(faultsOf(Yaml).empty()) << Yaml;
  auto Two = faultsWith("---\nhost: {}\n");
  ASSERT_EQ(Two.size(), 1U);
  EXPECT_NE(Two[0].Detail.find("document"), std::string::npos);
}

// Guards against syntax errors without their line.
TEST(DaemonSettingsTest, syntaxErrorNamesItsLine) {
  auto Faults = faultsWith("stop: {grace_ms: 5\nlog: }\n");
  ASSERT_EQ(Faults.size(), 1U);
  EXPECT_GE(Faults[0].Line, 12);
}

// Guards against values of another type that are read as a number or a truth
// value, and against empty values that hide the default.
TEST(DaemonSettingsTest, refusesWrongTypes) {
  for (const auto *Value : {"'8'", "[8]", "{a: 8}", "", "~", "true", "8.0"})
    EXPECT_EQ(
        faultsWith("workers:\n  slots: " + std::string(Value) + "\n").size(),
        1U)
        << Value;
  for (const auto *Value : {"'true'", "on", "1", "True"})
    EXPECT_EQ(
        faultsWith("workers:\n  guards: " + std::string(Value) + "\n").size(),
        1U)
        << Value;
  EXPECT_EQ(faultsWith("workers: 8\n").size(), 1U);
  EXPECT_EQ(faultsWith("log:\n  level: verbose\n").size(), 1U);
}

// Guards against a repeated section whose first part is lost.
TEST(DaemonSettingsTest, refusesARepeatedSection) {
  auto Faults = faultsWith("host:\n  name: entry-2\n");
  ASSERT_EQ(Faults.size(), 2U);
  EXPECT_EQ(Faults[0].Key, "host");
  EXPECT_EQ(Faults[1].Key, "host.name");
  EXPECT_NE(Faults[1].Detail.find("line 2"), std::string::npos);
}

// Guards against remedies that do not name the intended setting.
TEST(DaemonSettingsTest, unknownKeysNameTheNearestSetting) {
  auto RemedyFor = [](const std::string &Yaml) {
    auto Faults = faultsWith(Yaml);
    return Faults.size() == 1 ? Faults[0].Remedy : std::string("none");
  };
  EXPECT_EQ(RemedyFor("workers:\n  slot: 8\n"), "write workers.slots");
  EXPECT_EQ(RemedyFor("workers:\n  lease_ms: 8\n"),
            "write it as jobs.lease_ms");
  EXPECT_EQ(RemedyFor("stop:\n  grace: 1\n"),
            "write stop.grace_ms; its unit is ms");
  EXPECT_EQ(RemedyFor("stop:\n  colour: red\n"),
            "remove it; docs/settings.md lists the known keys");
}

// Guards against two listeners or two names for one port.
TEST(DaemonSettingsTest, refusesAddressClashes) {
  auto Clash = faultsOf(replaced(Minimal, "10.0.0.1:8081", "0.0.0.0:8080"));
  ASSERT_FALSE(Clash.empty());
  EXPECT_EQ(Clash[0].Key, "api.address");
  auto Own = faultsOf(replaced(Minimal, "10.0.1.1:9002", "10.0.0.1:8080"));
  ASSERT_EQ(Own.size(), 1U);
  EXPECT_EQ(Own[0].Key, "platform.object_address");
  EXPECT_EQ(Own[0].Line, 10);
}

// Guards against a host that tells its peers to connect to 0.0.0.0.
TEST(DaemonSettingsTest, wildcardListenerNeedsAnAdvertisedAddress) {
  auto Wild = replaced(Minimal, "10.0.0.1:8080", "0.0.0.0:8080");
  auto Faults = faultsOf(Wild);
  ASSERT_EQ(Faults.size(), 1U);
  EXPECT_EQ(Faults[0].Key, "api.address");
  EXPECT_NE(Faults[0].Remedy.find("api.advertise"), std::string::npos);
  EXPECT_TRUE(faultsOf(replaced(Wild, "0.0.0.0:8080\n",
                                "0.0.0.0:8080\n"
                                "  advertise: 10.0.0.1:8080\n"))
                  .empty());
}

// Guards against an unreadable file that is reported as an empty one.
TEST(DaemonSettingsTest, namesAFileThatCannotBeRead) {
  auto Missing = DaemonSettings::load("/nonexistent/settings.yaml");
  ASSERT_FALSE(Missing.has_value());
  EXPECT_EQ(Missing.error()[0].message(),
            "/nonexistent/settings.yaml: the file cannot be opened; give the "
            "path of a readable settings file");
  auto Folder = DaemonSettings::load("/");
  ASSERT_FALSE(Folder.has_value());
  EXPECT_EQ(Folder.error()[0].Detail, "the file cannot be read");
}

// Guards against load() and parse() that differ.
TEST(DaemonSettingsTest, loadsAFile) {
  auto Path = testing::TempDir() + "DaemonSettingsTest.yaml";
  std::ofstream(Path) << Minimal;
  auto Loaded = DaemonSettings::load(Path);
  std::remove(Path.c_str());
  ASSERT_TRUE(Loaded.has_value());
  EXPECT_EQ(Loaded.value(), DaemonSettings::parse(Minimal, "").value());
}

// Guards against characters on which yaml-cpp never returns.
TEST(DaemonSettingsTest, refusesControlCharactersWithTheirLine) {
  for (const auto *Text : {"\x04", "\x1b", "\x7f", "\xef\xbb\xbf", "\xff"}) {
    auto Faults = faultsWith("stop:\n  grace_ms: 5" + std::string(Text));
    ASSERT_EQ(Faults.size(), 1U);
    EXPECT_EQ(Faults[0].Line, 13);
  }
}

// Guards against text that ends the process instead of being reported.
RC_GTEST_PROP(DaemonSettingsTest, anyTextIsEitherRefusedOrLoaded,
              (const std::string &Text)) {
  auto Loaded = DaemonSettings::parse(Text, "f.yaml");
  RC_ASSERT(!Loaded.has_value());
  RC_ASSERT(!Loaded.error().empty());
}

// Guards against damage in the middle of a file that ends the process.
RC_GTEST_PROP(DaemonSettingsTest, aDamagedFileNeverEndsTheProcess, ()) {
  std::string Text = Minimal;
  auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
  auto Length = *rc::gen::inRange<std::size_t>(0, 8);
  Text.replace(At, Length, *rc::gen::arbitrary<std::string>());
  auto Loaded = DaemonSettings::parse(Text, "f.yaml");
  if (!Loaded.has_value())
    RC_ASSERT(!Loaded.error().empty());
}

} // namespace
} // namespace jayramp
