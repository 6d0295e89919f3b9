#include "Daemon/EntryHost.h"

#include "Api/AccountCommands.h"
#include "Api/ApiRouter.h"
#include "Api/HttpServer.h"
#include "Api/RequestCommands.h"
#include "Api/RequestQueries.h"
#include "Api/StatusQueries.h"
#include "Base/EventLog.h"
#include "Base/Identifier.h"
#include "Base/Metrics.h"
#include "Configuration/ConfigurationCommands.h"
#include "Configuration/ConfigurationQueries.h"
#include "Configuration/ConfigurationStore.h"
#include "Daemon/JobSubsystem.h"
#include "Membership/MembershipRunner.h"
#include "Membership/PeerTransport.h"
#include "Membership/WakeSignal.h"
#include "Platform/HttpHostList.h"
#include "Platform/HttpObjectStore.h"
#include "Platform/HttpTableService.h"
#include "Platform/HttpWorkerClient.h"
#include "Platform/TimerThread.h"
#include "Requests/KeyCoordinator.h"
#include "Requests/KeyRegistry.h"
#include "Requests/RequestRouter.h"
#include "Requests/SlotBroker.h"
#include "Requests/WorkerDirectory.h"
#include "Settings/DaemonSettings.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

namespace jayramp {

namespace {

constexpr Milliseconds MaintenanceInterval{100};
constexpr Milliseconds EvictionInterval{1000};
constexpr Milliseconds StopPollInterval{10};
constexpr Milliseconds HandoverTimeout{5000};
// With a store that takes a second to answer, a change of the configuration
// would otherwise never learn that it was written. A call makes two attempts in
// this time, which fit into the 4 s in which a change has to be in effect.
constexpr Milliseconds ConfigurationTimeout{3000};

auto timingOf(const DaemonSettings &Settings) -> MembershipTiming {
  MembershipTiming Timing;
  Timing.StoreInterval = Settings.membership().Heartbeat;
  Timing.PeerInterval = Settings.membership().PeerHeartbeat;
  Timing.ContactWindow = 2 * Settings.membership().PeerHeartbeat;
  Timing.ConfirmationWindow = Settings.membership().Confirmation;
  Timing.SilenceLimit = Settings.membership().Silence;
  return Timing;
}

} // namespace

/// The parts in the order of their construction; they are stopped in reverse.
class EntryHost::Parts {
public:
  explicit Parts(const DaemonSettings &Settings) : Settings(Settings) {}
  ~Parts() { stop(); }
  Parts(const Parts &) = delete;
  auto operator=(const Parts &) -> Parts & = delete;

  auto open() -> Result<void>;
  auto run() -> std::size_t;
  auto stop() -> void;

  std::atomic<bool> Stopping{false};
  std::atomic<bool> Cut{false};
  WakeSignal StopWake;

private:
  auto openPlatform() -> Result<void>;
  auto openPeers() -> Result<void>;
  auto openRequests() -> Result<void>;
  auto openApi() -> Result<void>;
  auto maintain() -> void;
  auto adopt(const std::shared_ptr<const View> &Current) -> void;
  auto waitUntilIdle(TimePoint Limit) -> void;

  const DaemonSettings Settings;
  Metrics Counters;
  TimerThread Timer;
  std::unique_ptr<HttpTableService> Tables;
  std::unique_ptr<HttpTableService> ConfigurationTables;
  std::unique_ptr<HttpHostList> Hosts;
  std::unique_ptr<HttpObjectStore> Objects;
  std::unique_ptr<HttpWorkerClient> WorkerCalls;
  std::unique_ptr<PeerTransport> Transport;
  ConfigurationStore Configurations;
  std::unique_ptr<MembershipRunner> Membership;
  std::unique_ptr<ConfigurationCommands> ConfigurationChanges;
  std::unique_ptr<ConfigurationQueries> ConfigurationReads;
  std::unique_ptr<KeyRegistry> Registry;
  std::unique_ptr<KeyCoordinator> Keys;
  std::unique_ptr<SlotBroker> Slots;
  std::unique_ptr<WorkerDirectory> Directory;
  std::unique_ptr<RequestRouter> Router;
  std::unique_ptr<RequestCommands> Requests;
  std::unique_ptr<RequestQueries> KeyReads;
  std::unique_ptr<AccountCommands> Accounts;
  std::unique_ptr<StatusQueries> Status;
  std::unique_ptr<JobSubsystem> Jobs;
  std::unique_ptr<ApiRouter> Paths;
  std::unique_ptr<HttpServer> Server;
  WakeSignal MaintenanceWake;
  std::thread Maintenance;
};

auto EntryHost::Parts::open() -> Result<void> {
  BOOST_OUTCOME_TRYV(openPlatform());
  BOOST_OUTCOME_TRYV(openPeers());
  BOOST_OUTCOME_TRYV(openRequests());
  BOOST_OUTCOME_TRYV(openApi());
  Membership->start();
  Directory->start();
  Jobs->start();
  Maintenance = std::thread([this] { maintain(); });
  return success();
}

auto EntryHost::Parts::openPlatform() -> Result<void> {
  const auto &Platform = Settings.platform();
  BOOST_OUTCOME_TRY(MadeTables,
                    HttpTableService::create(Platform.TableAddress.text(),
                                             Platform.Timeout, Counters));
  Tables = std::move(MadeTables);
  BOOST_OUTCOME_TRY(
      MadeConfigurationTables,
      HttpTableService::create(Platform.TableAddress.text(),
                               std::max(Platform.Timeout, ConfigurationTimeout),
                               Counters));
  ConfigurationTables = std::move(MadeConfigurationTables);
  BOOST_OUTCOME_TRY(MadeHosts,
                    HttpHostList::create(Platform.HostListAddress.text(),
                                         Platform.Timeout, Counters));
  Hosts = std::move(MadeHosts);
  BOOST_OUTCOME_TRY(MadeObjects,
                    HttpObjectStore::create(Platform.ObjectAddress.text(),
                                            Platform.Timeout, Counters));
  Objects = std::move(MadeObjects);
  BOOST_OUTCOME_TRY(MadeWorkerCalls, HttpWorkerClient::create(Counters));
  WorkerCalls = std::move(MadeWorkerCalls);
  return success();
}

auto EntryHost::Parts::openPeers() -> Result<void> {
  const auto &Host = Settings.host();
  std::string Incarnation = makeIdentifier();
  BOOST_OUTCOME_TRY(MadeTransport,
                    PeerTransport::make(Host.Name, Incarnation,
                                        Settings.peer().Address.text(),
                                        Counters));
  Transport = std::move(MadeTransport);
  Member Self{.Name = Host.Name,
              .Incarnation = Incarnation,
              .ApiAddress = Settings.api().Advertise.text(),
              .PeerAddress = Settings.peer().Advertise.text(),
              .AvailabilityZone = Host.AvailabilityZone};
  BOOST_OUTCOME_TRY(MadeMembership, MembershipRunner::make(
                                        Self, timingOf(Settings), *Tables,
                                        *Transport, Configurations, Counters));
  Membership = std::move(MadeMembership);
  ConfigurationChanges = std::make_unique<ConfigurationCommands>(
      *ConfigurationTables, Configurations, *Membership, *Transport, Counters);
  ConfigurationReads =
      std::make_unique<ConfigurationQueries>(Configurations, *Membership);
  return success();
}

auto EntryHost::Parts::openRequests() -> Result<void> {
  const auto &Host = Settings.host();
  BOOST_OUTCOME_TRY(
      MadeRegistry,
      KeyRegistry::make({.MaxRecords = Settings.requests().MaximumKeys,
                         .Retention = Settings.requests().KeyRetention}));
  Registry = std::make_unique<KeyRegistry>(std::move(MadeRegistry));
  Keys = std::make_unique<KeyCoordinator>(Host.Name, *Registry, *Membership,
                                          *Transport, Timer, Counters);
  BOOST_OUTCOME_TRY(
      Ledger, SlotLedger::make({.Connections = Settings.workers().Connections,
                                .Seed = std::random_device{}()}));
  BOOST_OUTCOME_TRY(Health, WorkerHealth::make({}));
  Slots = std::make_unique<SlotBroker>(Host.Name, std::move(Ledger),
                                       std::move(Health), *Membership,
                                       *Transport, Counters);
  WorkerDirectory::Options DirectoryOptions{
      .HostName = Host.Name,
      .HostListInterval = Settings.workers().HostList,
      .StatusInterval = Settings.workers().Status,
      .StatusTimeout = Settings.platform().Timeout};
  Directory = std::make_unique<WorkerDirectory>(
      DirectoryOptions, *Hosts, *WorkerCalls, *Slots, *Membership, Counters);
  RequestRouter::Options RouterOptions{
      .HostName = Host.Name,
      .AttemptTimeout = Settings.workers().AttemptTimeout,
      .MaximumQueue = Settings.requests().MaximumQueue};
  Router = std::make_unique<RequestRouter>(
      RouterOptions, *Membership, *Keys, *Slots, *WorkerCalls, Timer, Counters);
  Configurations.addListener([this](const Configuration &Newer) {
    Router->applyConfiguration(Newer);
  });
  Membership->addListener(
      [this](const std::shared_ptr<const View> &,
             const std::shared_ptr<const View> &Current) { adopt(Current); });
  return success();
}

auto EntryHost::Parts::openApi() -> Result<void> {
  Requests = std::make_unique<RequestCommands>(*Router, *ConfigurationReads);
  KeyReads = std::make_unique<RequestQueries>(*Keys, *Membership);
  Accounts = std::make_unique<AccountCommands>(*ConfigurationChanges,
                                               *ConfigurationReads);
  Status = std::make_unique<StatusQueries>(
      Settings.host().Name, *ConfigurationReads, *Membership, *Directory,
      *Slots, *Router, Counters, [this] { return Stopping.load(); });
  Jobs = std::make_unique<JobSubsystem>(
      Settings,
      JobSubsystem::Services{.Tables = *Tables,
                             .Objects = *Objects,
                             .Workers = *WorkerCalls,
                             .Membership = *Membership,
                             .Directory = *Directory,
                             .Configurations = Configurations,
                             .ConfigurationReads = *ConfigurationReads,
                             .Counters = Counters});
  Paths =
      std::make_unique<ApiRouter>(*Requests, *KeyReads, *Accounts, *Status,
                                  Jobs->commands(), Jobs->queries(), [this] {
                                    Stopping.store(true);
                                    StopWake.wake();
                                  });
  HttpServer::Options Options{
      .Address = Settings.api().Address.text(),
      .MaximumBodyBytes = Settings.api().MaximumBodyBytes,
      .MaximumUnreadBytes = Settings.api().MaximumUnreadBytes};
  BOOST_OUTCOME_TRY(MadeServer,
                    HttpServer::open(
                        Options,
                        [this](ApiRequest Request, ApiRouter::Respond Done) {
                          Paths->handle(std::move(Request), std::move(Done));
                        },
                        Counters));
  Server = std::move(MadeServer);
  return success();
}

auto EntryHost::Parts::adopt(const std::shared_ptr<const View> &Current)
    -> void {
  std::set<std::string> Live;
  for (const Member &Entry : Current->members())
    Live.insert(Entry.Incarnation);
  Slots->adoptView(Current->version(), Live);
  Keys->adoptView(Current);
  Router->reassertClaims();
  Directory->adoptView(std::make_shared<const ShardMap>(*Current));
}

auto EntryHost::Parts::maintain() -> void {
  TimePoint NextEviction = Clock::now();
  while (!MaintenanceWake.ended()) {
    Slots->runPeriodicTasks();
    Membership->reportFreeSlots(Slots->freeSlots());
    if (Clock::now() >= NextEviction) {
      Keys->evict();
      NextEviction = Clock::now() + EvictionInterval;
    }
    MaintenanceWake.waitUntil(Clock::now() + MaintenanceInterval);
  }
}

auto EntryHost::Parts::waitUntilIdle(TimePoint Limit) -> void {
  auto Busy = [this] {
    return Router->requestsInProgress() > 0 ||
           Server->requestsInProgress() > 0 || Keys->outstandingReports() > 0;
  };
  while (Busy() && !Cut.load() && Clock::now() < Limit)
    std::this_thread::sleep_for(StopPollInterval);
}

auto EntryHost::Parts::run() -> std::size_t {
  while (!Stopping.load())
    StopWake.waitUntil(Clock::now() + std::chrono::hours(1));
  TimePoint Limit = Clock::now() + Settings.stop().Limit;
  logEvent(LogLevel::Info, "stop_started",
           {{"in_progress", std::to_string(Router->requestsInProgress())}});
  // The load balancer needs time to see that this host is not ready.
  TimePoint GraceEnd = Clock::now() + Settings.stop().Grace;
  while (Clock::now() < GraceEnd && !Cut.load())
    std::this_thread::sleep_for(StopPollInterval);
  Router->refuseNewRequests();
  auto Prepared = Membership->prepareToLeave(HandoverTimeout);
  if (!Prepared)
    logEvent(LogLevel::Warning, "handover_incomplete",
             {{"error", Prepared.error().message()}});
  waitUntilIdle(Limit);
  std::size_t Lost = Router->requestsInProgress();
  auto Left = Membership->leave(HandoverTimeout);
  logEvent(Lost == 0 ? LogLevel::Info : LogLevel::Warning, "stop_finished",
           {{"requests_cut", std::to_string(Lost)},
            {"left_view", Left ? "true" : "false"}});
  return Lost;
}

auto EntryHost::Parts::stop() -> void {
  MaintenanceWake.end();
  if (Maintenance.joinable())
    Maintenance.join();
  if (Server)
    Server->close();
  Paths.reset();
  Jobs.reset();
  if (Directory)
    Directory->stop();
  if (Membership)
    Membership->stop();
  if (Transport)
    Transport->stop();
  Timer.stop();
  WorkerCalls.reset();
}

EntryHost::EntryHost(std::unique_ptr<Parts> Body) : Body(std::move(Body)) {}

EntryHost::~EntryHost() = default;

auto EntryHost::start(const DaemonSettings &Settings)
    -> Result<std::unique_ptr<EntryHost>> {
  auto Body = std::make_unique<Parts>(Settings);
  auto Opened = Body->open();
  if (!Opened)
    return Opened.error();
  return std::unique_ptr<EntryHost>(new EntryHost(std::move(Body)));
}

auto EntryHost::beginPlannedStop() -> void {
  Body->Stopping.store(true);
  Body->StopWake.wake();
}

auto EntryHost::endStopEarly() -> void { Body->Cut.store(true); }

auto EntryHost::run() -> std::size_t { return Body->run(); }

} // namespace jayramp
