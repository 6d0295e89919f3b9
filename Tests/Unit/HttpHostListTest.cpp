#include "Platform/HttpHostList.h"

#include "Base/Metrics.h"
#include "EndToEnd/StandIn.h"

#include <gtest/gtest.h>

#include <thread>

namespace jayramp {
namespace {

constexpr Milliseconds Timeout{500};

// Guards against a leaving host that is read as live, and against a stand-in
// that does not delay changes of the host list.
TEST(HttpHostListTest, returnsHostsAfterTheListDelay) {
  Metrics Registry;
  StandIn Platform = StandIn::startPlatform();
  auto Hosts =
      HttpHostList::create(Platform.address(), Timeout, Registry).value();
  EXPECT_TRUE(Hosts->hosts().value().empty());
  Platform.control(R"({"host_list_lag_ms":200})");
  Platform.control(
      R"({"hosts":[{"name":"w1","address":"127.0.0.1:1","state":"leaving",)"
      R"("zone":"z1","rack":"r1"}]})");
  EXPECT_TRUE(Hosts->hosts().value().empty());
  std::this_thread::sleep_for(Milliseconds(250));
  std::vector<ListedHost> Expected{{"w1", "127.0.0.1:1", true, "z1", "r1"}};
  EXPECT_EQ(Hosts->hosts().value(), Expected);
}

// Guards against a malformed host list that is read as an empty one.
TEST(HttpHostListTest, reportsAnUnknownHostState) {
  Metrics Registry;
  StandIn Platform = StandIn::startPlatform();
  auto Hosts =
      HttpHostList::create(Platform.address(), Timeout, Registry).value();
  Platform.control(
      R"({"hosts":[{"name":"w1","address":"127.0.0.1:1","state":"gone"}]})");
  auto ReadHosts = Hosts->hosts();
  ASSERT_FALSE(ReadHosts.has_value());
  EXPECT_EQ(ReadHosts.error().kind(), ErrorKind::Unavailable);
  EXPECT_NE(ReadHosts.error().detail().find("gone"), std::string::npos);
}

// Guards against a malformed address that is detected only at the first call.
TEST(HttpHostListTest, createRejectsAMalformedAddress) {
  Metrics Registry;
  for (const char *Address : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                              "127.0.0.1:99999", "host:80"}) {
    auto Created = HttpHostList::create(Address, Timeout, Registry);
    ASSERT_FALSE(Created.has_value()) << Address;
    EXPECT_EQ(Created.error().kind(), ErrorKind::InvalidArgument);
  }
}

} // namespace
} // namespace jayramp
