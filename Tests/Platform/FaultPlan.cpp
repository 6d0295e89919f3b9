#include "FaultPlan.h"

#include <algorithm>

namespace jayramp::platform_test {

namespace {

/// Since the begin of a round.
constexpr std::int64_t LatestFaultEndMs = 14000;

auto between(std::mt19937_64 &Random, std::int64_t Least, std::int64_t Most)
    -> std::int64_t {
  return std::uniform_int_distribution<std::int64_t>(Least, Most)(Random);
}

auto randomFault(std::mt19937_64 &Random, std::int64_t RoundStartMs)
    -> HostFault {
  HostFault Fault;
  Fault.What = between(Random, 0, 1) == 0 ? HostFault::Kind::Pause
                                          : HostFault::Kind::Kill;
  if (between(Random, 0, 3) == 0)
    Fault.Host = between(Random, 0, FaultPlan::HostCount - 1);
  const auto OffsetMs = between(Random, 2500, 12000);
  Fault.DurationMs = std::min(Fault.What == HostFault::Kind::Pause
                                  ? between(Random, 500, 6000)
                                  : between(Random, 200, 2000),
                              LatestFaultEndMs - OffsetMs);
  Fault.AtMs = RoundStartMs + OffsetMs;
  return Fault;
}

} // namespace

auto HostFault::describe() const -> std::string {
  return std::string(What == Kind::Pause ? "pause" : "kill") + " of " +
         (Host ? "host " + std::to_string(*Host) : "the owner") + " at " +
         std::to_string(AtMs) + " ms for " + std::to_string(DurationMs) + " ms";
}

auto ZoneClosure::describe() const -> std::string {
  return "zone " + std::to_string(Zone) + " is closed at " +
         std::to_string(AtMs) + " ms for " + std::to_string(DurationMs) + " ms";
}

auto FaultPlan::random(std::mt19937_64 &Random, std::int64_t TrafficMs)
    -> FaultPlan {
  FaultPlan Plan;
  Plan.EntriesLapse = between(Random, 0, 1) == 0;
  for (std::int64_t StartMs = 0; StartMs + RoundMs <= TrafficMs;
       StartMs += RoundMs) {
    Plan.OutagesAtMs.push_back(StartMs + between(Random, 3000, 8000));
    for (auto Count = between(Random, 0, 3); Count > 0; --Count)
      Plan.HostFaults.push_back(randomFault(Random, StartMs));
  }
  for (std::int64_t StartMs = 0; StartMs + RoundMs <= TrafficMs;
       StartMs += RoundMs)
    Plan.Closures.push_back(
        {StartMs + between(Random, 2500, 12000), between(Random, 1500, 10000),
         static_cast<unsigned>(between(Random, 0, ZoneCount - 1))});
  std::ranges::sort(Plan.HostFaults, {}, &HostFault::AtMs);
  return Plan;
}

auto FaultPlan::isStoreDown(std::int64_t AtMs) const -> bool {
  return std::ranges::any_of(OutagesAtMs, [=](std::int64_t FromMs) {
    return FromMs <= AtMs && AtMs < FromMs + OutageMs;
  });
}

} // namespace jayramp::platform_test
