#include "Shard/ConfigurationReview.h"
#include "Shard/ServingConfiguration.h"

#include <gtest/gtest.h>

namespace jayramp::test {
namespace {

using shard::ConfigurationFinding;
using shard::FindingKind;
using shard::ServingConfiguration;

auto soundConfiguration() -> ServingConfiguration {
  ServingConfiguration Sound;
  Sound.Version = 3;
  Sound.Services = {"maps"};
  Sound.Queues.push_back({"urgent", "maps.example", "/now/", "maps", 0, 3, 1.5,
                          Milliseconds(250), false});
  Sound.Accounts.push_back({"north", {"key-1"}, 16});
  return Sound;
}

/// Returns the kinds and places of \p Found.
auto summaryOf(const std::vector<ConfigurationFinding> &Found) -> std::string {
  std::string Text;
  for (const auto &Each : Found)
    Text += std::string(toString(Each.Kind)) + " " + Each.Place + "\n";
  return Text;
}

TEST(ConfigurationReviewTest, findsNothingInASoundConfiguration) {
  EXPECT_EQ(summaryOf(reviewConfiguration(soundConfiguration())), "");
}

// Guards against a version that hosts would have to ignore in part.
TEST(ConfigurationReviewTest, reportsAllErrorsAtOnce) {
  auto Proposed = soundConfiguration();
  Proposed.Queues[0].Service = "map";
  Proposed.Queues.push_back(Proposed.Queues[0]);
  Proposed.Queues[1].PathPrefix = "later/";
  Proposed.Accounts.push_back({"south", {"key-1"}, 0});
  EXPECT_EQ(summaryOf(reviewConfiguration(Proposed)),
            "error queue \"urgent\"\nerror queue \"urgent\"\n"
            "error queue \"urgent\"\nerror queue \"urgent\"\n"
            "error client account \"south\"\n"
            "never-matches service \"maps\"\n");
}

// Guards against entries that look as if they served somebody.
TEST(ConfigurationReviewTest, reportsEntriesThatNoRequestCanUse) {
  auto Proposed = soundConfiguration();
  Proposed.Queues.push_back(Proposed.Queues[0]);
  Proposed.Queues[1].Name = "shadowed";
  Proposed.Queues.push_back(Proposed.Queues[0]);
  Proposed.Queues[2].Name = "with-port";
  Proposed.Queues[2].Host = "maps.example:80";
  Proposed.Services.push_back("unused");
  Proposed.Accounts.push_back({"keyless", {}, 0});
  EXPECT_EQ(summaryOf(reviewConfiguration(Proposed)),
            "never-matches queue \"shadowed\"\n"
            "never-matches queue \"with-port\"\n"
            "never-matches service \"unused\"\n"
            "never-matches client account \"keyless\"\n");
}

TEST(ConfigurationReviewTest, reportsLimitsThatContradictEachOther) {
  auto Proposed = soundConfiguration();
  Proposed.Queues[0].Priority = 1;
  Proposed.Queues[0].Stretch = 0.5;
  Proposed.Queues[0].TargetLatency = Milliseconds(0);
  Proposed.Limits.MaxBodyBytes = 0;
  EXPECT_EQ(summaryOf(reviewConfiguration(Proposed)),
            "contradiction queue \"urgent\"\n"
            "contradiction client account \"north\"\n"
            "contradiction limits\n");
}

// Guards against a change that nobody meant, and against keys in a report.
TEST(ConfigurationReviewTest, reportsDifferencesWithoutKeys) {
  const auto InForce = soundConfiguration();
  auto Proposed = InForce;
  Proposed.Queues[0].Priority = 2;
  Proposed.Accounts[0].ApiKeys = {"key-2", "key-3"};
  Proposed.Services.push_back("tiles");
  const auto Found = compareConfigurations(InForce, Proposed);
  EXPECT_EQ(summaryOf(Found), "error version\n"
                              "difference queue \"urgent\"\n"
                              "difference service \"tiles\"\n"
                              "difference client account \"north\"\n");
  EXPECT_EQ(Found[1].Detail, "priority: 0 -> 2");
  EXPECT_EQ(Found[3].Detail, "API keys added: 2, removed: 1");
}

} // namespace
} // namespace jayramp::test
