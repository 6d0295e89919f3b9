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
auto chooseGroup(std::mt19937_64 &Random) -> WorkerGroup {
  WorkerGroup Group;
  const auto Kind = between(Random, 0, 2);
  const auto Rack = static_cast<unsigned>(between(Random, 0, RackCount - 1));
  const auto OneIn = between(Random, 2, 4);
  Group.Name = Kind == 0   ? "rack " + OutageStage::rackName(Rack)
               : Kind == 1 ? OutageStage::zoneOfRack(Rack)
                           : "one worker in " + std::to_string(OneIn);
  for (unsigned Worker = 0; Worker < RackCount * RackSize; ++Worker) {
    const auto OfRack = Worker / RackSize;
    const bool IsChosen = Kind == 0   ? OfRack == Rack
                          : Kind == 1 ? OutageStage::zoneOfRack(OfRack) ==
                                            OutageStage::zoneOfRack(Rack)
                                      : between(Random, 1, OneIn) == 1;
    if (IsChosen)
      Group.Workers.push_back(Worker);
  }
  return Group;
}

/// Chooses a group as above, or all other workers.
auto chooseSmallOrLargeGroup(std::mt19937_64 &Random) -> WorkerGroup {
  const auto Group = chooseGroup(Random);
  if (between(Random, 0, 1) == 0)
    return Group;
  WorkerGroup Others{"all but " + Group.Name, {}};
  for (unsigned Worker = 0; Worker < RackCount * RackSize; ++Worker)
    if (std::ranges::find(Group.Workers, Worker) == Group.Workers.end())
      Others.Workers.push_back(Worker);
  return Others;
}

auto randomCut(std::mt19937_64 &Random, std::int64_t RoundStartMs)
    -> WorkerCut {
  WorkerCut Cut;
  Cut.Group = chooseSmallOrLargeGroup(Random);
  Cut.AtMs = RoundStartMs + between(Random, 1500, 6000);
  // Longer than a lease, which lasts 5 s, up to twice as long.
  Cut.CutMs = between(Random, 6000, 10000);
  Cut.DelaysCalls = between(Random, 0, 1) == 0;
  return Cut;
}

auto randomRestart(std::mt19937_64 &Random, std::int64_t RoundStartMs)
    -> WorkerRestart {
  WorkerRestart Restart;
  Restart.Group = chooseGroup(Random);
  Restart.AtMs = RoundStartMs + between(Random, 2500, 7000);
  Restart.IsOfMachines = between(Random, 0, 3) != 0;
  Restart.DownMs = between(Random, 0, 600);
  Restart.MaxEntryDelayMs = between(Random, 0, 3000);
  Restart.CutDelayMs = between(Random, 20, 600);
  Restart.CutMs = between(Random, 6000, 9000);
  Restart.DelaysCalls = between(Random, 0, 1) == 0;
  return Restart;
}

/// Returns a signal around \p AtMs, mostly to the owner.
auto randomFault(std::mt19937_64 &Random, std::int64_t AtMs) -> HostFault {
  HostFault Fault;
  Fault.What = between(Random, 0, 1) == 0 ? HostFault::Kind::Pause
                                          : HostFault::Kind::Kill;
  if (between(Random, 0, 3) == 0)
    Fault.Host = between(Random, 0, FaultPlan::HostCount - 1);
  Fault.AtMs = AtMs + between(Random, -500, 4000);
  Fault.DurationMs = Fault.What == HostFault::Kind::Pause
                         ? between(Random, 500, 6000)
                         : between(Random, 200, 2000);
  return Fault;
}

} // namespace

auto WorkerGroup::describe() const -> std::string {
  return Name + " (" + std::to_string(Workers.size()) + " workers)";
}

auto WorkerCut::describe() const -> std::string {
  return Group.describe() + " is cut off at " + std::to_string(AtMs) +
         " ms for " + std::to_string(CutMs) + " ms, calls are " +
         (DelaysCalls ? "delayed" : "lost");
}

auto WorkerRestart::describe() const -> std::string {
  return Group.describe() + " restarts" +
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
      Plan.HostFaults.push_back(
          randomFault(Random, Plan.Restarts.back().returnMs()));
  }
  Plan.sort();
  return Plan;
}

auto RestartPlan::randomCuts(std::mt19937_64 &Random, std::int64_t TrafficMs)
    -> RestartPlan {
  RestartPlan Plan;
  for (std::int64_t StartMs = 0; StartMs < TrafficMs; StartMs += CutRoundMs) {
    for (auto Count = between(Random, 1, 2); Count > 0; --Count)
      Plan.Cuts.push_back(randomCut(Random, StartMs));
    if (between(Random, 0, 1) == 0)
      Plan.Restarts.push_back(randomRestart(Random, StartMs));
    for (auto Count = between(Random, 0, 2); Count > 0; --Count)
      Plan.HostFaults.push_back(randomFault(Random, Plan.Cuts.back().AtMs));
  }
  Plan.sort();
  return Plan;
}

auto RestartPlan::sort() -> void {
  std::ranges::sort(Cuts, {}, &WorkerCut::AtMs);
  std::ranges::sort(Restarts, {}, &WorkerRestart::returnMs);
  std::ranges::sort(HostFaults, {}, &HostFault::AtMs);
}

auto RestartPlan::endMs() const -> std::int64_t {
  std::int64_t End = 0;
  for (const auto &Each : Cuts)
    End = std::max(End, Each.endMs());
  for (const auto &Each : Restarts)
    End = std::max(End, Each.endMs());
  for (const auto &Each : HostFaults)
    End = std::max(End, Each.AtMs + Each.DurationMs);
  return End;
}

auto RestartPlan::describe() const -> std::string {
  std::string Text;
  for (const auto &Each : Cuts)
    Text += Each.describe() + "\n";
  for (const auto &Each : Restarts)
    Text += Each.describe() + "\n";
  for (const auto &Each : HostFaults)
    Text += Each.describe() + "\n";
  return Text;
}

} // namespace jayramp::platform_test
