#include "ShardFixture.h"

#include "HostSettings.h"
#include "JobIngress.h"

#include <algorithm>
#include <thread>

namespace jayramp::test {
namespace {

constexpr Milliseconds MaxConfigurationAge{200};

class JobIngressTest : public ShardFixture {
protected:
  JobIngressTest() {
    Configuration.Version = 1;
    Configuration.Queues.push_back({"queue", "host", "/q/", "pool"});
    Configuration.Accounts.push_back({"account", {"key"}, 0});
    apply();
    Ingress.confirmConfiguration(suspendAwareNow());
  }

  auto apply() -> void {
    Ingress.applyConfiguration(
        std::make_shared<const shard::ServingConfiguration>(Configuration));
  }

  /// Asks for the state of a job that does not exist and returns the response.
  auto request() -> net::HttpResponse {
    std::optional<net::HttpResponse> Response;
    Ingress.handle({"GET",
                    "/q/0123456789abcdef",
                    {{"Host", "host"}, {"Authorization", "Bearer key"}},
                    {}},
                   [&](net::HttpResponse Next) { Response = std::move(Next); });
    EXPECT_TRUE(runUntil([&] { return Response.has_value(); }));
    return *Response;
  }

  shard::ServingConfiguration Configuration;
  platform::JobIngress Ingress{Gateway, MaxConfigurationAge};
};

TEST_F(JobIngressTest, servesWhileTheConfigurationIsRecent) {
  EXPECT_EQ(request().Status, 410U);
}

// Guards against serving a withdrawn API key on a host that cannot reach the
// store, or that was paused: the request is handled before any timer.
TEST_F(JobIngressTest, refusesAllRequestsOnceTheConfigurationMayBeOutdated) {
  std::this_thread::sleep_for(MaxConfigurationAge + Milliseconds(10));
  const auto Response = request();
  EXPECT_EQ(Response.Status, 503U);
  EXPECT_TRUE(std::any_of(
      Response.Headers.begin(), Response.Headers.end(),
      [](const auto &Header) { return Header.first == "Retry-After"; }));
  // An answer of the store that was handled late does not make the
  // configuration recent.
  Ingress.confirmConfiguration(suspendAwareNow() - MaxConfigurationAge);
  EXPECT_EQ(request().Status, 503U);
  Ingress.confirmConfiguration(suspendAwareNow());
  EXPECT_EQ(request().Status, 410U);
}

TEST_F(JobIngressTest, refusesAKeyThatANewerConfigurationLacks) {
  Configuration.Version = 2;
  Configuration.Accounts.front().ApiKeys.clear();
  apply();
  EXPECT_EQ(request().Status, 401U);
  // An older version that arrives late does not restore the key.
  Configuration.Version = 1;
  Configuration.Accounts.front().ApiKeys = {"key"};
  apply();
  EXPECT_EQ(request().Status, 401U);
}

// Guards against serving a key after the time by which it must be refused, and
// against refusing callers much earlier: the platform expects service for 0.6
// of that time.
TEST(HostSettingsTest, configurationExpiresWithinTheRevocationNotice) {
  platform::HostSettings Settings;
  for (const auto Notice : {3000, 5000, 8000}) {
    Settings.RevocationNoticeMs = Notice;
    EXPECT_GE(Settings.maxConfigurationAge(), Milliseconds(Notice * 6 / 10));
    EXPECT_LE(Settings.maxConfigurationAge(), Milliseconds(Notice * 9 / 10));
  }
}

} // namespace
} // namespace jayramp::test
