#include "Configuration/ConfigurationStore.h"

#include "jayramp/v1/jayramp.pb.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <thread>

namespace jayramp {
namespace {

// Guards against a version that goes back, in the store or at a listener, when
// versions arrive in any order on several threads.
RC_GTEST_PROP(ConfigurationStoreTest, versionNeverGoesBack,
              (const std::vector<std::uint8_t> &First,
               const std::vector<std::uint8_t> &Second)) {
  ConfigurationStore Store;
  std::vector<std::uint64_t> Heard;
  Store.addListener([&Heard](const Configuration &Newer) {
    Heard.push_back(Newer.version());
  });
  auto Adopt = [&Store](const std::vector<std::uint8_t> &Versions) {
    for (auto Version : Versions) {
      std::uint64_t Before = Store.version();
      Store.adopt(Configuration(Version, v1::ConfigurationDocument()));
      if (Store.version() < Before || Store.version() < Version)
        std::abort();
    }
  };
  std::thread Other([&] { Adopt(Second); });
  Adopt(First);
  Other.join();
  std::uint64_t Highest = 0;
  for (auto Version : First)
    Highest = std::max<std::uint64_t>(Highest, Version);
  for (auto Version : Second)
    Highest = std::max<std::uint64_t>(Highest, Version);
  RC_ASSERT(Store.version() == Highest);
  RC_ASSERT(std::adjacent_find(Heard.begin(), Heard.end(),
                               std::greater_equal<>()) == Heard.end());
}

// Guards against a row that cannot be read back, or that is not text.
TEST(ConfigurationStoreTest, rowTextKeepsTheDocument) {
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
