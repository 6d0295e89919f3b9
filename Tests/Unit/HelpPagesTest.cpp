#include "Control/CommandLine.h"
#include "Schema/JsonMapping.h"
#include "Settings/DaemonSettings.h"
#include "jayramp/v1/jayramp.pb.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace jayramp {
namespace {

auto readFile(const std::string &Path) -> std::string {
  std::ifstream File(JAYRAMP_SOURCE_DIR "/" + Path);
  EXPECT_TRUE(File) << Path;
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

// Guards against options and exit codes of jayrampctl that are missing from
// Help/jayrampctl.md.
TEST(HelpPagesTest, jayrampctlPageListsAllOptionsAndExitCodes) {
  auto Page = readFile("Help/jayrampctl.md");
  auto Names = controlOptionNames();
  EXPECT_GE(Names.size(), 18U);
  for (const auto &Name : Names)
    EXPECT_NE(Page.find("| `--" + Name), std::string::npos) << Name;
  for (int Code = 0; Code <= 7; ++Code)
    EXPECT_NE(Page.find("| " + std::to_string(Code) + " | "),
              std::string::npos);
}

// Guards against example settings files that the daemon rejects at startup.
TEST(HelpPagesTest, exampleSettingsAreValid) {
  for (const auto *Name : {"stemmehus", "cielo-austral"}) {
    auto Loaded = DaemonSettings::load(JAYRAMP_SOURCE_DIR "/Help/examples/" +
                                       std::string(Name) + ".yaml");
    ASSERT_TRUE(Loaded.has_value()) << Loaded.error().front().message();
    EXPECT_EQ(Loaded.value().workers().Slots, 8U);
    EXPECT_EQ(Loaded.value().workers().Connections, 64U);
    EXPECT_TRUE(Loaded.value().workers().EpochFencing);
  }
}

// Guards against example configurations that cannot be parsed, have a value out
// of range, or guarantee more than the 384 accelerators of their deployment.
TEST(HelpPagesTest, exampleConfigurationsAreValid) {
  for (const auto *Name : {"stemmehus", "cielo-austral"}) {
    v1::ConfigurationDocument Document;
    auto Parsed = parseJson(
        readFile("Help/examples/" + std::string(Name) + "-configuration.json"),
        Document);
    ASSERT_TRUE(Parsed.has_value()) << Parsed.error().message();
    ASSERT_EQ(Document.accounts_size(), 4);
    std::uint32_t GuaranteedAccelerators = 0;
    for (const auto &Account : Document.accounts()) {
      EXPECT_GE(Account.request_share(), 1U);
      EXPECT_LE(Account.request_share(), 1000U);
      for (const auto &Shape : Account.guarantees()) {
        EXPECT_LE(Shape.accelerators(), 64U);
        GuaranteedAccelerators += Shape.accelerators() * Shape.count();
      }
    }
    EXPECT_LE(GuaranteedAccelerators, 384U);
  }
}

} // namespace
} // namespace jayramp
