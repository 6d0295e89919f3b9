#include "OutageStage.h"

#include "RunRules.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>
#include <utility>

namespace jayramp::platform_test {

namespace {

constexpr std::int64_t TickMs = 50;
constexpr std::int64_t ReadyTimeoutMs = 20000;
/// After a fault, the system has this long to recover: the calm before the 3 s
/// of rule LOST.
constexpr std::int64_t GraceMs = 4000;
/// bounds.evacuate-ms.
constexpr std::int64_t EvacuateMs = 5000;
constexpr std::int64_t PollIntervalMs = 500;
/// Clocks of workers may be slow by 2 %.
constexpr double SlowClockRate = 0.98;
constexpr std::size_t OwnerLineCount = 40;
constexpr std::int64_t OrderSettleMs = 200;
constexpr std::int64_t OwnerDownMs = 2000;

const std::array<std::string, FaultPlan::HostCount> HostZones{
    "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-d"};
const std::vector<std::string> Zones{"zone-a", "zone-b", "zone-c", "zone-d"};

/// Returns true for lines that fill the log while the store is down.
auto isRepeatedWarning(const std::string &Line) -> bool {
  return Line.find("event=heartbeat-failed") != std::string::npos ||
         Line.find("event=progress-write-failed") != std::string::npos;
}

auto daemonPath() -> std::string {
  const auto *Given = std::getenv("JAYRAMP_ENTRYD");
  return Given ? Given : JAYRAMP_ENTRY_DAEMON;
}

} // namespace

OutageStage::OutageStage(const std::string &Folder)
    : Output(Folder + "/record.txt"), Platform(Output), Jobs(Output) {}

auto OutageStage::start(const std::string &Folder) -> Result<OutageStage *> {
  auto *Stage = new OutageStage(Folder);
  Stage->Platform.publishConfiguration();
  for (unsigned Rack = 0; Rack < RackCount; ++Rack)
    Stage->Platform.addWorkers(rackName(Rack), WorkersPerRack,
                               Rack % 2 == 0 ? 1.0 : SlowClockRate,
                               zoneOfRack(Rack));
  Stage->lookAtWorkersOutside("");
  BOOST_OUTCOME_TRYV(Stage->startHosts(Folder));
  BOOST_OUTCOME_TRYV(Stage->waitUntilReady());
  return Stage;
}

auto OutageStage::zoneOfRack(unsigned Rack) -> const std::string & {
  return Zones[Rack % Zones.size()];
}

auto OutageStage::lookAtWorkersOutside(const std::string &ClosedZone) -> void {
  std::map<std::string, std::string> RackByWorker;
  for (const auto &Worker : Platform.workers())
    if (Worker->zone() != ClosedZone)
      RackByWorker[Worker->id()] = Worker->rack();
  Check = std::make_unique<IdleRoomCheck>(std::move(RackByWorker));
}

auto OutageStage::startHosts(const std::string &Folder) -> Result<void> {
  for (std::size_t Index = 0; Index < HostZones.size(); ++Index) {
    const auto Name = "edge-" + HostZones[Index] + "-" + std::to_string(Index);
    BOOST_OUTCOME_TRY(
        Host, EntryHost::start({daemonPath(), Folder, Name, HostZones[Index],
                                Zones, Platform.store().address()}));
    Callers.push_back(Host.callerAddress());
    Hosts.push_back(std::move(Host));
  }
  return success();
}

auto OutageStage::waitUntilReady() -> Result<void> {
  const auto UntilMs = Output.elapsedMs() + ReadyTimeoutMs;
  for (const auto &Host : Hosts)
    while (!Host.isReady()) {
      if (Output.elapsedMs() > UntilMs)
        return Error::make(ErrorKind::Timeout, Host.name(),
                           "it did not become ready", "read its log");
      review::sleepMs(TickMs);
    }
  LastFaultMs = Output.elapsedMs();
  Output.write("all hosts are ready");
  return success();
}

auto OutageStage::owner() const -> std::size_t {
  // The lines begin with the time of day in a format that sorts by time.
  std::string Latest;
  std::size_t Owner = 0;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    for (const auto &Line : Hosts[Index].logLines("event=shard-taken"))
      if (Line > Latest) {
        Latest = Line;
        Owner = Index;
      }
  return Owner;
}

auto OutageStage::beginFaults(FaultPlan Next) -> void {
  Plan = std::move(Next);
  NextHostFault = 0;
  NextClosure = 0;
  FaultsBeginMs = Output.elapsedMs();
}

auto OutageStage::playStoreOutage(std::int64_t SinceMs) -> void {
  const bool IsDown = Plan.isStoreDown(SinceMs);
  if (IsDown == IsStoreDown)
    return;
  IsStoreDown = IsDown;
  if (!IsDown && Plan.EntriesLapse)
    Platform.store().expireRows("servers");
  Platform.store().setOutage(IsDown ? review::StoreStandIn::Outage::All
                                    : review::StoreStandIn::Outage::None);
  Output.write(IsDown ? "the store is down" : "the store is back");
}

auto OutageStage::playHostFaults(std::int64_t SinceMs) -> void {
  for (; NextHostFault < Plan.HostFaults.size() &&
         Plan.HostFaults[NextHostFault].AtMs <= SinceMs;
       ++NextHostFault) {
    const auto &Fault = Plan.HostFaults[NextHostFault];
    const auto Index = Fault.Host ? *Fault.Host : owner();
    auto &Host = Hosts[Index];
    if (Host.state() != EntryHost::State::Running)
      continue;
    Output.write(Host.name() + ": " + Fault.describe());
    if (Fault.What == HostFault::Kind::Pause)
      Host.pause();
    else
      Host.kill();
    Recoveries.push_back({Index, SinceMs + Fault.DurationMs});
  }
}

auto OutageStage::playRecoveries(std::int64_t SinceMs) -> void {
  for (const auto &Due : Recoveries) {
    if (Due.AtMs > SinceMs)
      continue;
    auto &Host = Hosts[Due.Host];
    Output.write(Host.name() + " runs again");
    if (Host.state() == EntryHost::State::Paused)
      Host.resume();
    else if (const auto Started = Host.startAgain(); !Started)
      addFinding(Host.name() + " could not be started again");
  }
  std::erase_if(Recoveries,
                [=](const Recovery &Each) { return Each.AtMs <= SinceMs; });
}

auto OutageStage::closeZone(const std::string &Zone) -> std::int64_t {
  Platform.store().put("op", "evacuate/" + Zone, "{}");
  Closed = {Zone, Output.elapsedMs()};
  Output.write(Zone + " is closed");
  lookAtWorkersOutside(Zone);
  return Closed->SinceMs;
}

auto OutageStage::closeZoneAndKillOwner(const std::string &Zone)
    -> std::int64_t {
  const auto Index = owner();
  auto &Host = Hosts[Index];
  Host.pause();
  // Until then, workers carry out the orders that the owner has sent.
  review::sleepMs(OrderSettleMs);
  const auto ClosedMs = closeZone(Zone);
  Output.write(Host.name() + " is killed");
  Host.kill();
  Recoveries.push_back({Index, ClosedMs - FaultsBeginMs + OwnerDownMs});
  return ClosedMs;
}

auto OutageStage::openZone() -> std::int64_t {
  const auto [Zone, ClosedMs] = *std::exchange(Closed, std::nullopt);
  const auto OpenedMs = Output.elapsedMs();
  Platform.store().remove("op", "evacuate/" + Zone);
  Output.write(Zone + " is open");
  lookAtWorkersOutside("");
  for (const auto &Run : startsInZone(Zone, ClosedMs + EvacuateMs, OpenedMs))
    addFinding("started in a closed zone: " + Run);
  return OpenedMs;
}

auto OutageStage::playClosures(std::int64_t SinceMs) -> void {
  if (IsStoreDown || NextClosure >= Plan.Closures.size())
    return;
  const auto &Next = Plan.Closures[NextClosure];
  if (!Closed && Next.AtMs <= SinceMs)
    closeZone(Zones[Next.Zone]);
  if (Closed && Next.AtMs + Next.DurationMs <= SinceMs) {
    openZone();
    ++NextClosure;
  }
}

auto OutageStage::startsInZone(const std::string &Zone, std::int64_t FromMs,
                               std::int64_t UntilMs)
    -> std::vector<std::string> {
  std::set<std::string> WorkersOfZone;
  for (const auto &Worker : Platform.workers())
    if (Worker->zone() == Zone)
      WorkersOfZone.insert(Worker->id());
  std::vector<std::string> Found;
  for (const auto &Run : Platform.history().entries())
    if (WorkersOfZone.contains(Run.Worker) && Run.StartMs >= FromMs &&
        Run.StartMs < UntilMs)
      Found.push_back(review::RunHistory::describe(Run));
  return Found;
}

auto OutageStage::isCalm() -> bool {
  return !IsStoreDown && std::ranges::all_of(Hosts, [](const EntryHost &Host) {
    return Host.state() == EntryHost::State::Running;
  }) && std::ranges::all_of(Platform.workers(), [](const auto &Worker) {
    return Worker->isReachable();
  });
}

auto OutageStage::lookForIdleRoom() -> void {
  if (!Plan.LooksForIdleRoom)
    return;
  const auto NowMs = Output.elapsedMs();
  if (!isCalm())
    LastFaultMs = NowMs;
  if (NowMs - LastFaultMs < GraceMs) {
    Check->reset();
    return;
  }
  CheckedMs += TickMs;
  const auto Found =
      Check->look(NowMs, Jobs.all(), Platform.history().entries());
  if (!Found)
    return;
  std::string Text = "IDLE ROOM " + Found->describe();
  for (const auto &Host : Hosts)
    for (const auto &Line : Host.logLines("job=" + Found->Job.Plan.Id))
      if (Line.find("event=tasks-waiting") != std::string::npos)
        Text += "\n  " + Line;
  auto Lines = Hosts[owner()].logLines("");
  std::erase_if(Lines, isRepeatedWarning);
  if (Lines.size() > OwnerLineCount)
    Lines.erase(Lines.begin(), Lines.end() - OwnerLineCount);
  Text += "\n  owner " + Hosts[owner()].name() + ":";
  for (const auto &Line : Lines)
    Text += "\n    " + Line;
  addFinding(Text);
}

auto OutageStage::logLines(const std::string &Text) const
    -> std::vector<std::string> {
  std::vector<std::string> Found;
  for (const auto &Host : Hosts)
    for (auto &Line : Host.logLines(Text))
      Found.push_back(std::move(Line));
  return Found;
}

auto OutageStage::findDeadHosts() -> void {
  for (auto &Host : Hosts)
    if (!Host.isAsExpected()) {
      addFinding(Host.name() + " ended by itself");
      Host.kill();
    }
}

auto OutageStage::tick() -> void {
  const auto SinceMs = Output.elapsedMs() - FaultsBeginMs;
  playStoreOutage(SinceMs);
  playRecoveries(SinceMs);
  playHostFaults(SinceMs);
  playClosures(SinceMs);
  lookForIdleRoom();
  findDeadHosts();
  review::sleepMs(TickMs);
}

auto OutageStage::run(std::int64_t DurationMs) -> void {
  const auto UntilMs = Output.elapsedMs() + DurationMs;
  while (Output.elapsedMs() < UntilMs)
    tick();
}

auto OutageStage::runUntilCalm() -> void {
  while (!isCalm())
    tick();
}

auto OutageStage::runUntilCompleted(std::int64_t LimitMs)
    -> std::vector<std::string> {
  const auto UntilMs = Output.elapsedMs() + LimitMs;
  std::set<std::string> Completed;
  std::vector<std::string> Missing;
  do {
    Missing.clear();
    std::size_t Next = 0;
    for (const auto &Job : Jobs.all()) {
      if (Completed.contains(Job.Plan.Id))
        continue;
      const auto State = Jobs.stateOf(Job, Callers[Next++ % Callers.size()]);
      if (State == "completed")
        Completed.insert(Job.Plan.Id);
      else
        Missing.push_back("job " + Job.Plan.Id + " is not completed but '" +
                          State + "'; " + Job.Plan.body());
    }
    run(PollIntervalMs);
  } while (!Missing.empty() && Output.elapsedMs() < UntilMs);
  return Missing;
}

auto OutageStage::addFinding(const std::string &Text) -> void {
  Output.write("FINDING " + Text);
  Findings.push_back(std::to_string(Output.elapsedMs()) + " ms  " + Text);
}

auto OutageStage::findings() -> std::vector<std::string> {
  auto All = Findings;
  for (const auto &Each : Jobs.contradictions())
    All.push_back(Each);
  for (const auto &Each :
       RunRules::findings(Platform.history().entries(), Output.elapsedMs()))
    All.push_back(Each);
  return All;
}

auto OutageStage::summary() -> std::string {
  return std::to_string(Jobs.all().size()) + " jobs accepted, " +
         std::to_string(Platform.history().entries().size()) +
         " runs, idle room looked for during " + std::to_string(CheckedMs) +
         " ms at least, " + std::to_string(NextHostFault) + " signals";
}

} // namespace jayramp::platform_test
