#include "Settings/SettingConstraint.h"

#include "Settings/SettingsTable.h"

#include <gtest/gtest.h>

#include <map>

namespace jayramp {
namespace {

using Changes = std::map<std::string, std::string>;

/// Returns a settings file with the required settings, in which the settings in
/// \p Changed are replaced or added.
auto fileWith(const Changes &Changed) -> std::string {
  Changes Values = {
      {"host.name", "entry-1"},
      {"host.availability_zone", "a"},
      {"api.address", "10.0.0.1:8080"},
      {"peer.address", "10.0.0.1:8081"},
      {"platform.table_address", "10.0.1.1:9001"},
      {"platform.object_address", "10.0.1.1:9001"},
      {"platform.host_list_address", "10.0.1.1:9001"},
  };
  for (const auto &[Key, Value] : Changed)
    Values[Key] = Value;
  std::string Yaml;
  std::string Section;
  for (const auto &[Key, Value] : Values) {
    auto Dot = Key.find('.');
    if (Key.substr(0, Dot) != Section) {
      Section = Key.substr(0, Dot);
      Yaml += Section + ":\n";
    }
    Yaml += "  " + Key.substr(Dot + 1) + ": " + Value + "\n";
  }
  return Yaml;
}

struct Example {
  Changes Accepted;
  Changes Rejected;
};

/// Returns, for each constraint in the order of settingConstraints(), values at
/// the limit that it accepts and values just beyond the limit.
auto examples() -> std::vector<Example> {
  return {
      {{{"peer.address", "10.0.0.2:8080"}},
       {{"peer.address", "'[::]:8080'"}, {"peer.advertise", "10.0.0.1:8081"}}},
      {{{"peer.advertise", "10.0.0.2:8080"}},
       {{"peer.advertise", "10.0.0.1:8080"}}},
      {{{"api.advertise", "10.0.0.3:8080"}},
       {{"api.advertise", "0.0.0.0:8080"}}},
      {{{"peer.advertise", "10.0.0.3:8080"}},
       {{"peer.advertise", "0.0.0.0:8081"}}},
      {{{"platform.table_address", "10.0.0.1:8082"}},
       {{"platform.table_address", "10.0.0.1:8081"}}},
      {{{"platform.object_address", "10.0.0.1:8082"}},
       {{"platform.object_address", "0.0.0.0:9001"}}},
      {{{"platform.host_list_address", "10.0.0.1:8082"}},
       {{"platform.host_list_address", "10.0.0.1:8080"}}},
      {{{"api.maximum_unread_kib", "4096"}},
       {{"api.maximum_unread_kib", "4095"}}},
      {{{"platform.timeout_ms", "300"}, {"membership.heartbeat_ms", "300"}},
       {{"platform.timeout_ms", "301"}, {"membership.heartbeat_ms", "300"}}},
      {{{"membership.confirmation_ms", "2000"}},
       {{"membership.confirmation_ms", "1999"}}},
      {{{"membership.confirmation_ms", "2499"}},
       {{"membership.confirmation_ms", "2500"}}},
      {{{"membership.silence_ms", "3000"}},
       {{"membership.silence_ms", "3001"}}},
      {{{"workers.connections", "8"}}, {{"workers.connections", "7"}}},
      {{{"workers.status_ms", "1500"}},
       {{"workers.status_ms", "1500"}, {"platform.timeout_ms", "501"}}},
      {{{"workers.host_list_ms", "1500"}},
       {{"workers.host_list_ms", "1500"}, {"platform.timeout_ms", "501"}}},
      {{{"jobs.surplus_lease_ms", "2000"}},
       {{"jobs.surplus_lease_ms", "1999"}}},
      {{{"jobs.lease_ms", "4000"}}, {{"jobs.lease_ms", "3999"}}},
      {{{"jobs.checkpoint_ms", "3699"}}, {{"jobs.checkpoint_ms", "3700"}}},
      {{{"stop.limit_ms", "1001"}}, {{"stop.limit_ms", "1000"}}},
  };
}

// Guards against a constraint that is never applied, that is off by one, or
// that was added without an example in this file.
TEST(SettingConstraintTest, eachConstraintRejectsValuesJustBeyondItsLimit) {
  auto All = examples();
  ASSERT_EQ(All.size(), settingConstraints().size());
  for (std::size_t I = 0; I < All.size(); ++I) {
    std::string Rule(settingConstraints()[I].Rule);
    SCOPED_TRACE(Rule);
    auto Accepted = DaemonSettings::parse(fileWith(All[I].Accepted), "f");
    EXPECT_TRUE(Accepted.has_value()) << Accepted.error().front().message();
    auto Rejected = DaemonSettings::parse(fileWith(All[I].Rejected), "f");
    ASSERT_FALSE(Rejected.has_value());
    ASSERT_EQ(Rejected.error().size(), 1U) << Rejected.error()[1].message();
    const auto &Reported = Rejected.error().front();
    EXPECT_TRUE(Reported.Detail.starts_with(Rule)) << Reported.message();
    EXPECT_GT(Reported.Line, 1);
  }
}

// Guards against constraints that use keys of settings that do not exist.
TEST(SettingConstraintTest, constraintsUseKnownSettings) {
  for (const auto &Constraint : settingConstraints())
    for (auto Key : Constraint.Keys)
      EXPECT_NE(findSetting(Key), nullptr) << Key;
}

// Guards against an invalid setting that is reported a second time as the
// violation of a constraint.
TEST(SettingConstraintTest, invalidSettingIsLeftOutOfConstraints) {
  auto Loaded = DaemonSettings::parse(fileWith({{"stop.limit_ms", "1"}}), "f");
  ASSERT_FALSE(Loaded.has_value());
  EXPECT_EQ(Loaded.error().size(), 1U);
}

} // namespace
} // namespace jayramp
