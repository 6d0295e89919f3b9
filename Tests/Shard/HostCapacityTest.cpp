#include "HostCapacity.h"

#include <gtest/gtest.h>

namespace jayramp::platform {
namespace {

// Guards against parts that together exceed what the platform gives a host.
TEST(HostCapacityTest, partsStayWithinTheLimitsOfTheHost) {
  for (const auto &[MemoryMb, MaxFds] :
       std::vector<std::pair<std::int64_t, std::int64_t>>{
           {120, 3075}, {160, 4100}, {260, 4100}, {512, 10250}, {120, 10250}}) {
    HostSettings Settings;
    Settings.MemoryMb = MemoryMb;
    Settings.MaxFds = MaxFds;
    const auto Parts = HostCapacity::of(Settings);
    const auto Sockets =
        Parts.Callers.MaxConnections + Parts.Peers.MaxConnections +
        Parts.Readiness.MaxConnections + Parts.Calls.MaxConnections;
    // One more each is open while a connection is closed for it.
    EXPECT_LE(Sockets + 16, static_cast<std::size_t>(MaxFds - 200));
    EXPECT_GE(Parts.Callers.MaxConnections, 1500U);
    const auto Beyond =
        (Parts.Callers.MaxConnections + Parts.Peers.MaxConnections +
         Parts.Readiness.MaxConnections) *
        (net::ConnectionLimits::GuaranteedBytes + 4096);
    const auto Held = Parts.Callers.MaxHeldBytes + Parts.Peers.MaxHeldBytes +
                      Parts.Readiness.MaxHeldBytes + Parts.Calls.MaxHeldBytes;
    EXPECT_LE(Held + Beyond,
              static_cast<std::size_t>(MemoryMb) * (1U << 20U) * 8 / 10);
    EXPECT_GT(Parts.Calls.MaxHeldBytes, Parts.Calls.MaxBodyBytes);
  }
}

} // namespace
} // namespace jayramp::platform
