#include "MembershipSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jayramp {
namespace {

using test::MembershipSimulation;

// Guards against two hosts that serve under different views at the same time,
// under random schedules of pauses, restarts, partitions and store outages.
RC_GTEST_PROP(MembershipStateTest, twoViewsAreNeverServedAtOnce, ()) {
  auto Seed = *rc::gen::inRange(1U, 1'000'000'000U);
  auto Hosts = *rc::gen::inRange<std::size_t>(1, 6);
  auto Faults = *rc::gen::inRange<std::size_t>(0, 14);
  MembershipSimulation Simulation(Seed,
                                  {.HostCount = Hosts, .FaultCount = Faults});
  std::string Violation = Simulation.run();
  if (!Violation.empty())
    RC_FAIL(Violation);
}

// Checks the same as the test above on a fixed, larger set of schedules, most
// of which have several faults at once.
TEST(MembershipStateTest, twoViewsAreNeverServedAtOnceInFixedSchedules) {
  std::uint64_t Changes = 0;
  for (unsigned Seed = 1; Seed <= 1500; ++Seed) {
    MembershipSimulation Simulation(
        Seed, {.HostCount = 2 + Seed % 5, .FaultCount = 4 + Seed % 16});
    ASSERT_EQ(Simulation.run(), "") << "seed " << Seed;
    Changes += Simulation.storedViewVersion();
  }
  std::cout << "seeds 1 to 1500, " << Changes << " view changes\n";
}

// Guards against a simulation that cannot detect a violation: if one reachable
// member suffices to remove others, some schedule must break the invariant.
TEST(MembershipStateTest,
     simulationDetectsTwoServedViewsWithoutTheMajorityRule) {
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    MembershipSimulation Simulation(
        Seed, {.HostCount = 4, .RequiredContacts = 1, .FaultCount = 8});
    std::string Violation = Simulation.run();
    if (!Violation.empty()) {
      std::cout << "seed " << Seed << ": " << Violation << "\n";
      return;
    }
  }
  FAIL() << "300 schedules without the majority rule did not violate the "
            "invariant; the simulation cannot detect violations";
}

// Guards against hosts that stop serving in a store outage although they still
// reach each other.
TEST(MembershipStateTest, allHostsKeepServingInATotalStoreOutage) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    MembershipSimulation Simulation(Seed, {.HostCount = 4,
                                           .Duration = Milliseconds(60000),
                                           .FaultCount = 0,
                                           .LateMessages = false});
    Simulation.addStoreOutage(Milliseconds(8000), Milliseconds(60000));
    EXPECT_EQ(Simulation.run(), "") << "seed " << Seed;
    EXPECT_EQ(Simulation.storedView().members().size(), 4U) << "seed " << Seed;
    for (std::size_t Host = 0; Host < 4; ++Host)
      EXPECT_EQ(Simulation.servingFraction(Host, Milliseconds(8000)), 1)
          << "seed " << Seed << " host " << Host;
  }
}

// Guards against a host that stops serving, or is removed, because it alone
// cannot reach the store. Late messages are off, because four late answers in
// succession would count as a second fault.
TEST(MembershipStateTest, hostWithoutStoreAccessKeepsServingThroughItsPeers) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    MembershipSimulation Simulation(Seed, {.HostCount = 4,
                                           .Duration = Milliseconds(40000),
                                           .FaultCount = 0,
                                           .LateMessages = false});
    Simulation.cutHostFromStore(1, Milliseconds(8000), Milliseconds(40000));
    EXPECT_EQ(Simulation.run(), "") << "seed " << Seed;
    EXPECT_EQ(Simulation.servingFraction(1, Milliseconds(8000)), 1)
        << "seed " << Seed;
  }
}

// Guards against a partitioned minority that keeps serving, and a majority that
// stops.
TEST(MembershipStateTest, partitionedMinorityRefusesAndMajorityKeepsServing) {
  MembershipSimulation Simulation(
      7, {.HostCount = 5, .Duration = Milliseconds(30000), .FaultCount = 0});
  Simulation.addPartition({0, 1}, Milliseconds(8000), Milliseconds(30000),
                          true);
  EXPECT_EQ(Simulation.run(), "");
  EXPECT_EQ(Simulation.storedView().members().size(), 3U);
  for (std::size_t Host : {0, 1})
    EXPECT_EQ(Simulation.servingFraction(Host, Milliseconds(10100)), 0);
  for (std::size_t Host : {2, 3, 4})
    EXPECT_GT(Simulation.servingFraction(Host, Milliseconds(13000)), 0.95);
}

// Guards against a view change although only half of the members are running,
// which is no majority.
TEST(MembershipStateTest, halfOfTheMembersCannotRemoveTheOthers) {
  MembershipSimulation Simulation(
      3, {.HostCount = 4, .Duration = Milliseconds(30000), .FaultCount = 0});
  Simulation.crashHost(0, Milliseconds(9000));
  Simulation.crashHost(1, Milliseconds(9000));
  EXPECT_EQ(Simulation.run(), "");
  EXPECT_EQ(Simulation.storedView().members().size(), 4U);
}

// Guards against a process that serves when it resumes from a pause longer than
// the confirmation window.
TEST(MembershipStateTest, refusesImmediatelyAfterAPause) {
  TimePoint Start(std::chrono::hours(1));
  MembershipState State(Member{.Name = "a"}, MembershipTiming(), Start);
  ASSERT_TRUE(
      State.adopt(View().withMember(State.self(), /*Settled=*/true), Start));
  State.recordStoreConfirmation(1, Start);
  EXPECT_TRUE(std::holds_alternative<ServingPermitted>(
      State.servingDecision(0, Start + Milliseconds(1999))));
  // A single member is a majority of its view, so add a second one.
  View Pair = State.view()->withMember(Member{.Name = "b"}, /*Settled=*/true);
  ASSERT_TRUE(State.adopt(Pair, Start));
  State.recordStoreConfirmation(2, Start);
  EXPECT_FALSE(std::holds_alternative<ServingPermitted>(
      State.servingDecision(0, Start + Milliseconds(2000))));
}

} // namespace
} // namespace jayramp
