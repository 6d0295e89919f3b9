#include "Configuration/ConfigurationStore.h"

#include "jayramp/v1/jayramp.pb.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <thread>

namespace jayramp {
namespace {

// Guards against a version that decreases, in the store or for a listener, when
// two threads adopt versions in any order.
RC_GTEST_PROP(ConfigurationStoreTest, versionNeverDecreases,
              (const std::vector<std::uint8_t> &FirstVersions,
               const std::vector<std::uint8_t> &SecondVersions)) {
  ConfigurationStore Store;
  std::vector<std::uint64_t> NotifiedVersions;
  Store.addListener([&NotifiedVersions](const Configuration &Newer) {
    NotifiedVersions.push_back(Newer.version());
  });
  auto Adopt = [&Store](const std::vector<std::uint8_t> &Versions) {
    for (auto Version : Versions) {
      std::uint64_t Before = Store.version();
      Store.adopt(Configuration(Version, v1::ConfigurationDocument()));
      if (Store.version() < Before || Store.version() < Version)
        std::abort();
    }
  };
  std::thread SecondThread([&] { Adopt(SecondVersions); });
  Adopt(FirstVersions);
  SecondThread.join();
  std::uint64_t HighestVersion = 0;
  for (auto Version : FirstVersions)
    HighestVersion = std::max<std::uint64_t>(HighestVersion, Version);
  for (auto Version : SecondVersions)
    HighestVersion = std::max<std::uint64_t>(HighestVersion, Version);
  RC_ASSERT(Store.version() == HighestVersion);
  RC_ASSERT(std::adjacent_find(NotifiedVersions.begin(), NotifiedVersions.end(),
                               std::greater_equal<>()) ==
            NotifiedVersions.end());
}

// Guards against JSON text that does not parse back to the same document, and
// against an unknown field that is ignored.
TEST(ConfigurationStoreTest, jsonTextPreservesTheDocument) {
  v1::ConfigurationDocument Document;
  Document.add_accounts()->set_name("x\"y");
  Configuration Written(3, Document);
  auto Read = Configuration::parseJsonText(3, Written.toJsonText());
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().document().accounts(0).name(), "x\"y");
  EXPECT_FALSE(Configuration::parseJsonText(3, "{\"acounts\":[]}"));
}

} // namespace
} // namespace jayramp
