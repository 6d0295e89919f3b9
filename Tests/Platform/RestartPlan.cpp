#include "RestartPlan.h"

#include "OutageStage.h"

#include <algorithm>

namespace jayramp::platform_test {

namespace {

constexpr auto RackSize = OutageStage::WorkersPerRack;
constexpr auto RackCount = OutageStage::RackCount;

auto between(std::mt19937_64 &Random, std::int64_t Least, std::int64_t Most)
    -> std::int64_t {
  return std::uniform_int_distribution<std::int64_t>(Least, Most)(Random);
}

/// Chooses a rack, a zone or a share of all workers.
auto chooseGroup(std::mt19937_64 &Random, WorkerRestart &Restart) -> void {
  const auto Kind = between(Random, 0, 2);
  const auto Rack = static_cast<unsigned>(between(Random, 0, RackCount - 1));
  const auto OneIn = between(Random, 2, 4);
  Restart.Group = Kind == 0   ? "rack " + OutageStage::rackName(Rack)
                  : Kind == 1 ? OutageStage::zoneOfRack(Rack)
                              : "one worker in " + std::to_string(OneIn);
  for (unsigned Worker = 0; Worker < RackCount * RackSize; ++Worker) {
    const auto OfRack = Worker / RackSize;
    const bool IsChosen = Kind == 0   ? OfRack == Rack
                          : Kind == 1 ? OutageStage::zoneOfRack(OfRack) ==
                                            OutageStage::zoneOfRack(Rack)
                                      : between(Random, 1, OneIn) == 1;
    if (IsChosen)
      Restart.Workers.push_back(Worker);
  }
}

auto randomRestart(std::mt19937_64 &Random, std::int64_t RoundStartMs)
    -> WorkerRestart {
  WorkerRestart Restart;
  chooseGroup(Random, Restart);
  Restart.AtMs = RoundStartMs + between(Random, 2500, 7000);
  Restart.IsOfMachines = between(Random, 0, 3) != 0;
  Restart.DownMs = between(Random, 0, 600);
  Restart.MaxEntryDelayMs = between(Random, 0, 3000);
  Restart.CutDelayMs = between(Random, 20, 600);
  Restart.CutMs = between(Random, 6000, 9000);
  Restart.DelaysCalls = between(Random, 0, 1) == 0;
  return Restart;
}

/// Returns a signal around the return of the workers, mostly to the owner.
auto randomFault(std::mt19937_64 &Random, const WorkerRestart &Restart)
    -> HostFault {
  HostFault Fault;
  Fault.What = between(Random, 0, 1) == 0 ? HostFault::Kind::Pause
                                          : HostFault::Kind::Kill;
  if (between(Random, 0, 3) == 0)
    Fault.Host = between(Random, 0, FaultPlan::HostCount - 1);
  Fault.AtMs = Restart.returnMs() + between(Random, -500, 4000);
  Fault.DurationMs = Fault.What == HostFault::Kind::Pause
                         ? between(Random, 500, 6000)
                         : between(Random, 200, 2000);
  return Fault;
}

} // namespace

auto WorkerRestart::describe() const -> std::string {
  return Group + " (" + std::to_string(Workers.size()) + " workers) restarts" +
         (IsOfMachines ? " with the machines" : "") + " at " +
         std::to_string(AtMs) + " ms, is back after " + std::to_string(DownMs) +
         " ms, is registered within " + std::to_string(MaxEntryDelayMs) +
         " ms, is cut off after " + std::to_string(CutDelayMs) + " ms for " +
         std::to_string(CutMs) + " ms, calls are " +
         (DelaysCalls ? "delayed" : "lost");
}

auto RestartPlan::random(std::mt19937_64 &Random, std::int64_t TrafficMs)
    -> RestartPlan {
  RestartPlan Plan;
  for (std::int64_t StartMs = 0; StartMs < TrafficMs; StartMs += RoundMs) {
    for (auto Count = between(Random, 2, 3); Count > 0; --Count)
      Plan.Restarts.push_back(randomRestart(Random, StartMs));
    for (auto Count = between(Random, 0, 2); Count > 0; --Count)
      Plan.HostFaults.push_back(randomFault(Random, Plan.Restarts.back()));
  }
  std::ranges::sort(Plan.Restarts, {}, &WorkerRestart::returnMs);
  std::ranges::sort(Plan.HostFaults, {}, &HostFault::AtMs);
  return Plan;
}

auto RestartPlan::endMs() const -> std::int64_t {
  std::int64_t End = 0;
  for (const auto &Each : Restarts)
    End = std::max(End, Each.endMs());
  for (const auto &Each : HostFaults)
    End = std::max(End, Each.AtMs + Each.DurationMs);
  return End;
}

} // namespace jayramp::platform_test
