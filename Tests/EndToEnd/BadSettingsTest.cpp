#include "EndToEnd/ChildProcess.h"
#include "EndToEnd/StandIn.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace jayramp {
namespace {

class BadSettingsTest : public testing::Test {
protected:
  void SetUp() override {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "jayramp-XXXXXX").string();
    ASSERT_NE(::mkdtemp(Pattern.data()), nullptr);
    Folder = Pattern;
  }

  void TearDown() override { std::filesystem::remove_all(Folder); }

  auto validSettings() const -> std::string {
    std::string Address = Platform.address();
    return "host:\n  name: entry-1\n  availability_zone: zone-1\n"
           "api:\n  address: 127.0.0.1:11871\n"
           "peer:\n  address: 127.0.0.1:11872\n"
           "platform:\n  table_address: " +
           Address + "\n  object_address: " + Address +
           "\n  host_list_address: " + Address + "\n";
  }

  /// Runs the daemon with \p Text as settings and expects that it refuses
  /// them, names \p Named and has not called the platform.
  auto expectRefused(const std::string &Text, const std::string &Named)
      -> void {
    std::string Path = Folder + "/settings.yaml";
    std::ofstream(Path) << Text;
    expectUsageError({JAYRAMP_DAEMON, "--settings", Path}, Named);
  }

  auto expectUsageError(const std::vector<std::string> &Command,
                        const std::string &Named) -> void {
    ChildProcess::Options Settings;
    Settings.OutputPath = Folder + "/" + std::to_string(++Runs) + ".log";
    auto Started = ChildProcess::start(Command, Settings);
    ASSERT_TRUE(Started.has_value());
    auto Code = Started.value().waitForExit(std::chrono::seconds(5));
    std::stringstream Shown;
    Shown << std::ifstream(Settings.OutputPath).rdbuf();
    EXPECT_EQ(Code, 2) << Named << ": " << Shown.str();
    EXPECT_NE(Shown.str().find(Named), std::string::npos)
        << Named << ": " << Shown.str();
    EXPECT_EQ(Shown.str().find("started"), std::string::npos) << Shown.str();
    auto Record = Platform.record();
    EXPECT_EQ(Record.at("revision").as_integer(), 0);
    for (const auto &[Kind, Count] : Record.at("reads").as_object())
      EXPECT_EQ(Count.as_integer(), 0) << Kind;
  }

  StandIn Platform = StandIn::startPlatform();
  std::string Folder;
  int Runs = 0;
};

// Guards against a daemon that runs with part of its settings.
TEST_F(BadSettingsTest, eachFaultIsRefusedBeforeAnythingOpens) {
  std::string Valid = validSettings();
  expectRefused("", "the file holds no settings");
  expectRefused("host: [", "settings.yaml");
  expectRefused(Valid + "colour: blue\n", "colour");
  expectRefused(Valid + "workers:\n  slotz: 8\n", "slotz");
  expectRefused(Valid + "workers:\n  slots: many\n", "workers.slots");
  expectRefused(Valid + "workers:\n  slots: -1\n", "workers.slots");
  expectRefused(Valid + "workers:\n  slots: 9\n  connections: 8\n",
                "workers.connections");
  expectRefused(Valid + "membership:\n  silence_ms: 100000\n",
                "membership.silence_ms");
  expectRefused(Valid + "workers:\n  slots: 8\n  slots: 9\n", "slots");
  std::string SamePort = Valid;
  SamePort.replace(SamePort.find("11872"), 5, "11871");
  expectRefused(SamePort, "peer.address");
}

// Guards against usage errors that start a daemon with defaults.
TEST_F(BadSettingsTest, usageErrorsExitWithTwo) {
  expectUsageError({JAYRAMP_DAEMON}, "--settings");
  expectUsageError({JAYRAMP_DAEMON, "--settings", Folder + "/absent.yaml"},
                   "absent.yaml");
  expectUsageError({JAYRAMP_DAEMON, "--no-such-option"}, "no-such-option");
}

// Guards against a daemon that runs on although it cannot listen.
TEST_F(BadSettingsTest, addressInUseExitsWithOne) {
  std::string Text = validSettings();
  // The platform stand-in already listens there.
  Text.replace(Text.find("127.0.0.1:11872"), 15, Platform.address());
  auto Other = StandIn::startPlatform();
  for (std::size_t Found = Text.find("table_address"); Found < Text.size();) {
    auto Place = Text.find(Platform.address(), Found);
    if (Place == std::string::npos)
      break;
    Text.replace(Place, Platform.address().size(), Other.address());
    Found = Place;
  }
  std::string Path = Folder + "/settings.yaml";
  std::ofstream(Path) << Text;
  ChildProcess::Options Settings;
  Settings.OutputPath = Folder + "/in-use.log";
  auto Started =
      ChildProcess::start({JAYRAMP_DAEMON, "--settings", Path}, Settings);
  ASSERT_TRUE(Started.has_value());
  EXPECT_EQ(Started.value().waitForExit(std::chrono::seconds(5)), 1);
  std::stringstream Shown;
  Shown << std::ifstream(Settings.OutputPath).rdbuf();
  EXPECT_NE(Shown.str().find("start_failed"), std::string::npos) << Shown.str();
}

} // namespace
} // namespace jayramp
