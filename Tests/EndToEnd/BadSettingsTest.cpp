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
    std::string FolderTemplate =
        (std::filesystem::temp_directory_path() / "jayramp-XXXXXX").string();
    ASSERT_NE(::mkdtemp(FolderTemplate.data()), nullptr);
    Folder = FolderTemplate;
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

  /// Runs the daemon with \p SettingsText as its settings file and expects a
  /// usage error whose message contains \p ExpectedText.
  auto expectSettingsRefused(const std::string &SettingsText,
                             const std::string &ExpectedText) -> void {
    std::string Path = Folder + "/settings.yaml";
    std::ofstream(Path) << SettingsText;
    expectUsageError({JAYRAMP_DAEMON, "--settings", Path}, ExpectedText);
  }

  /// Runs \p Command and expects that it exits with code 2, prints \p
  /// ExpectedText and neither starts nor calls the platform.
  auto expectUsageError(const std::vector<std::string> &Command,
                        const std::string &ExpectedText) -> void {
    ChildProcess::Options ProcessOptions;
    ProcessOptions.OutputPath =
        Folder + "/" + std::to_string(++StartCount) + ".log";
    auto Started = ChildProcess::start(Command, ProcessOptions);
    ASSERT_TRUE(Started.has_value());
    auto ExitCode = Started.value().waitForExit(std::chrono::seconds(5));
    std::stringstream Output;
    Output << std::ifstream(ProcessOptions.OutputPath).rdbuf();
    EXPECT_EQ(ExitCode, 2) << ExpectedText << ": " << Output.str();
    EXPECT_NE(Output.str().find(ExpectedText), std::string::npos)
        << ExpectedText << ": " << Output.str();
    EXPECT_EQ(Output.str().find("started"), std::string::npos) << Output.str();
    auto Record = Platform.record();
    EXPECT_EQ(Record.at("revision").as_integer(), 0);
    for (const auto &[Kind, Count] : Record.at("reads").as_object())
      EXPECT_EQ(Count.as_integer(), 0) << Kind;
  }

  StandIn Platform = StandIn::startPlatform();
  std::string Folder;
  int StartCount = 0;
};

// Guards against a daemon that ignores invalid settings and starts with the
// others.
TEST_F(BadSettingsTest, invalidSettingsAreRefusedBeforeAnyConnection) {
  std::string ValidSettings = validSettings();
  expectSettingsRefused("", "the file holds no settings");
  expectSettingsRefused("host: [", "settings.yaml");
  expectSettingsRefused(ValidSettings + "colour: blue\n", "colour");
  expectSettingsRefused(ValidSettings + "workers:\n  slotz: 8\n", "slotz");
  expectSettingsRefused(ValidSettings + "workers:\n  slots: many\n",
                        "workers.slots");
  expectSettingsRefused(ValidSettings + "workers:\n  slots: -1\n",
                        "workers.slots");
  expectSettingsRefused(ValidSettings +
                            "workers:\n  slots: 9\n  connections: 8\n",
                        "workers.connections");
  expectSettingsRefused(ValidSettings + "membership:\n  silence_ms: 100000\n",
                        "membership.silence_ms");
  expectSettingsRefused(ValidSettings + "workers:\n  slots: 8\n  slots: 9\n",
                        "slots");
  std::string SamePortSettings = ValidSettings;
  SamePortSettings.replace(SamePortSettings.find("11872"), 5, "11871");
  expectSettingsRefused(SamePortSettings, "peer.address");
}

// Guards against a daemon that ignores usage errors and starts with default
// settings.
TEST_F(BadSettingsTest, usageErrorsExitWithCodeTwo) {
  expectUsageError({JAYRAMP_DAEMON}, "--settings");
  expectUsageError({JAYRAMP_DAEMON, "--settings", Folder + "/absent.yaml"},
                   "absent.yaml");
  expectUsageError({JAYRAMP_DAEMON, "--no-such-option"}, "no-such-option");
}

// Guards against a daemon that keeps running although it cannot bind its
// address.
TEST_F(BadSettingsTest, addressInUseExitsWithCodeOne) {
  std::string SettingsText = validSettings();
  // The platform stand-in already listens on this address.
  SettingsText.replace(SettingsText.find("127.0.0.1:11872"), 15,
                       Platform.address());
  auto OtherPlatform = StandIn::startPlatform();
  for (std::size_t SearchBegin = SettingsText.find("table_address");
       SearchBegin < SettingsText.size();) {
    auto Position = SettingsText.find(Platform.address(), SearchBegin);
    if (Position == std::string::npos)
      break;
    SettingsText.replace(Position, Platform.address().size(),
                         OtherPlatform.address());
    SearchBegin = Position;
  }
  std::string Path = Folder + "/settings.yaml";
  std::ofstream(Path) << SettingsText;
  ChildProcess::Options ProcessOptions;
  ProcessOptions.OutputPath = Folder + "/in-use.log";
  auto Started =
      ChildProcess::start({JAYRAMP_DAEMON, "--settings", Path}, ProcessOptions);
  ASSERT_TRUE(Started.has_value());
  EXPECT_EQ(Started.value().waitForExit(std::chrono::seconds(5)), 1);
  std::stringstream Output;
  Output << std::ifstream(ProcessOptions.OutputPath).rdbuf();
  EXPECT_NE(Output.str().find("start_failed"), std::string::npos)
      << Output.str();
}

} // namespace
} // namespace jayramp
