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

  /// Asks for the state of a job that does not exist, or makes another request
  /// about it, and returns the response.
  auto request(const std::string &Method = "GET", const std::string &Body = {})
      -> net::HttpResponse {
    std::optional<net::HttpResponse> Response;
    Ingress.handle({Method,
                    "/q/0123456789abcdef",
                    {{"Host", "host"}, {"Authorization", "Bearer key"}},
                    Body},
                   [&](net::HttpResponse Next) { Response = std::move(Next); });
    EXPECT_TRUE(runUntil([&] { return Response.has_value(); }));
    return *Response;
  }

  auto submitJob() -> net::HttpResponse {
    return request("POST", R"({"steps":[{"gpu":1,"estimated-ms":1000}]})");
  }

  /// Lets the owner forecast that no job can be served before it is too late.
  auto forecastNoRoom() -> void {
    Ingress.setForecastSource([](const std::string &) {
      return shard::AdmissionForecast{
          {{0, {Milliseconds(60000), Milliseconds(60000)}}},
          {{"account", 1.0}}};
    });
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

// Guards against jobs that are stored although they cannot be served in time,
// and against a refused job that runs all the same.
TEST_F(JobIngressTest, refusesAJobThatCannotBeServedInTimeAndDoesNotStoreIt) {
  forecastNoRoom();
  const auto Response = submitJob();
  EXPECT_EQ(Response.Status, 429U);
  EXPECT_TRUE(std::any_of(
      Response.Headers.begin(), Response.Headers.end(),
      [](const auto &Header) { return Header.first == "Retry-After"; }));
  EXPECT_EQ(request().Status, 410U);
}

// Guards against the refusal of a repeated request whose job was stored by an
// earlier one, and may run.
TEST_F(JobIngressTest, acceptsTheRepeatOfAStoredJobWhenOthersAreRefused) {
  EXPECT_EQ(submitJob().Status, 200U);
  forecastNoRoom();
  EXPECT_EQ(submitJob().Status, 200U);
  EXPECT_EQ(request().Status, 200U);
}

// Guards against refusing the work that an account is guaranteed.
TEST_F(JobIngressTest, acceptsGuaranteedJobsWhenOthersAreRefused) {
  Configuration.Version = 2;
  Configuration.Accounts.front().GuaranteedGpus = 8;
  apply();
  forecastNoRoom();
  EXPECT_EQ(submitJob().Status, 200U);
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
