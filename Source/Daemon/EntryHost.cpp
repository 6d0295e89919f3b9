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
constexpr Milliseconds KeyEvictionInterval{1000};
constexpr Milliseconds StopPollInterval{10};
constexpr Milliseconds HandoverTimeout{5000};
// Lower limit of the timeout for configuration changes. When the table service
// takes a second to answer, a shorter timeout would end each change before it
// is known to be written. A call makes two attempts within this time, and the
// time is below the 4 s within which a change must be in effect.
constexpr Milliseconds MinConfigurationTimeout{3000};

auto membershipTiming(const DaemonSettings &Settings) -> MembershipTiming {
  MembershipTiming Timing;
  Timing.StoreHeartbeatInterval = Settings.membership().StoreHeartbeatInterval;
  Timing.PeerHeartbeatInterval = Settings.membership().PeerHeartbeatInterval;
  Timing.ContactWindow = 2 * Settings.membership().PeerHeartbeatInterval;
  Timing.ConfirmationWindow = Settings.membership().ConfirmationWindow;
  Timing.SilenceLimit = Settings.membership().SilenceLimit;
  return Timing;
}

} // namespace

/// The components of an entry host. The members are declared in the order of
/// their construction, because each component uses earlier ones and has to be
/// destroyed before them. stop() stops them in reverse order.
class EntryHost::Components {
public:
  explicit Components(const DaemonSettings &Settings) : Settings(Settings) {}
  ~Components() { stop(); }
  Components(const Components &) = delete;
  auto operator=(const Components &) -> Components & = delete;

  auto start() -> Result<void>;
  auto run() -> std::size_t;
  auto stop() -> void;

  std::atomic<bool> StopRequested{false};
  /// Set to end a planned stop early.
  std::atomic<bool> StopEndsEarly{false};
  WakeSignal StopSignal;

private:
  auto createPlatformClients() -> Result<void>;
  auto createMembership() -> Result<void>;
  auto createRequestComponents() -> Result<void>;
  auto createApi() -> Result<void>;
  auto runMaintenance() -> void;
  auto adoptView(const std::shared_ptr<const View> &Current) -> void;
  auto waitUntilIdle(TimePoint Deadline) -> void;

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
  std::unique_ptr<RequestQueries> RequestReads;
  std::unique_ptr<AccountCommands> Accounts;
  std::unique_ptr<StatusQueries> Status;
  std::unique_ptr<JobSubsystem> Jobs;
  std::unique_ptr<ApiRouter> HttpRouter;
  std::unique_ptr<HttpServer> Server;
  WakeSignal MaintenanceSignal;
  std::thread MaintenanceThread;
};

auto EntryHost::Components::start() -> Result<void> {
  BOOST_OUTCOME_TRYV(createPlatformClients());
  BOOST_OUTCOME_TRYV(createMembership());
  BOOST_OUTCOME_TRYV(createRequestComponents());
  BOOST_OUTCOME_TRYV(createApi());
  Membership->start();
  Directory->start();
  Jobs->start();
  MaintenanceThread = std::thread([this] { runMaintenance(); });
  return success();
}

auto EntryHost::Components::createPlatformClients() -> Result<void> {
  const auto &Platform = Settings.platform();
  BOOST_OUTCOME_TRY(CreatedTables,
                    HttpTableService::create(Platform.TableAddress.text(),
                                             Platform.Timeout, Counters));
  Tables = std::move(CreatedTables);
  BOOST_OUTCOME_TRY(CreatedConfigurationTables,
                    HttpTableService::create(
                        Platform.TableAddress.text(),
                        std::max(Platform.Timeout, MinConfigurationTimeout),
                        Counters));
  ConfigurationTables = std::move(CreatedConfigurationTables);
  BOOST_OUTCOME_TRY(CreatedHosts,
                    HttpHostList::create(Platform.HostListAddress.text(),
                                         Platform.Timeout, Counters));
  Hosts = std::move(CreatedHosts);
  BOOST_OUTCOME_TRY(CreatedObjects,
                    HttpObjectStore::create(Platform.ObjectAddress.text(),
                                            Platform.Timeout, Counters));
  Objects = std::move(CreatedObjects);
  BOOST_OUTCOME_TRY(CreatedWorkerCalls, HttpWorkerClient::create(Counters));
  WorkerCalls = std::move(CreatedWorkerCalls);
  return success();
}

auto EntryHost::Components::createMembership() -> Result<void> {
  const auto &Host = Settings.host();
  std::string Incarnation = makeIdentifier();
  BOOST_OUTCOME_TRY(CreatedTransport,
                    PeerTransport::make(Host.Name, Incarnation,
                                        Settings.peer().Address.text(),
                                        Counters));
  Transport = std::move(CreatedTransport);
  Member Self{.Name = Host.Name,
              .Incarnation = Incarnation,
              .ApiAddress = Settings.api().Advertise.text(),
              .PeerAddress = Settings.peer().Advertise.text(),
              .AvailabilityZone = Host.AvailabilityZone};
  BOOST_OUTCOME_TRY(CreatedMembership,
                    MembershipRunner::make(Self, membershipTiming(Settings),
                                           *Tables, *Transport, Configurations,
                                           Counters));
  Membership = std::move(CreatedMembership);
  ConfigurationChanges = std::make_unique<ConfigurationCommands>(
      *ConfigurationTables, Configurations, *Membership, *Transport, Counters);
  ConfigurationReads =
      std::make_unique<ConfigurationQueries>(Configurations, *Membership);
  return success();
}

auto EntryHost::Components::createRequestComponents() -> Result<void> {
  const auto &Host = Settings.host();
  BOOST_OUTCOME_TRY(
      CreatedRegistry,
      KeyRegistry::make({.MaxRecords = Settings.requests().MaximumKeys,
                         .Retention = Settings.requests().KeyRetention}));
  Registry = std::make_unique<KeyRegistry>(std::move(CreatedRegistry));
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
      .HostListInterval = Settings.workers().HostListInterval,
      .StatusInterval = Settings.workers().StatusInterval,
      .StatusTimeout = Settings.platform().Timeout};
  Directory = std::make_unique<WorkerDirectory>(
      DirectoryOptions, *Hosts, *WorkerCalls, *Slots, *Membership, Counters);
  RequestRouter::Options RouterOptions{
      .HostName = Host.Name,
      .AttemptTimeout = Settings.workers().AttemptTimeout,
      .MaximumQueue = Settings.requests().MaximumQueueLength};
  Router = std::make_unique<RequestRouter>(
      RouterOptions, *Membership, *Keys, *Slots, *WorkerCalls, Timer, Counters);
  Configurations.addListener([this](const Configuration &Newer) {
    Router->applyConfiguration(Newer);
  });
  Membership->addViewListener(
      [this](const std::shared_ptr<const View> &,
             const std::shared_ptr<const View> &Current) {
        adoptView(Current);
      });
  return success();
}

auto EntryHost::Components::createApi() -> Result<void> {
  Requests = std::make_unique<RequestCommands>(*Router, *ConfigurationReads);
  RequestReads = std::make_unique<RequestQueries>(*Keys, *Membership);
  Accounts = std::make_unique<AccountCommands>(*ConfigurationChanges,
                                               *ConfigurationReads);
  Status = std::make_unique<StatusQueries>(
      Settings.host().Name, *ConfigurationReads, *Membership, *Directory,
      *Slots, *Router, Counters, [this] { return StopRequested.load(); });
  Jobs = std::make_unique<JobSubsystem>(
      Settings,
      JobSubsystem::Dependencies{.Tables = *Tables,
                                 .Objects = *Objects,
                                 .Workers = *WorkerCalls,
                                 .Membership = *Membership,
                                 .Directory = *Directory,
                                 .Configurations = Configurations,
                                 .ConfigurationReads = *ConfigurationReads,
                                 .Counters = Counters});
  HttpRouter =
      std::make_unique<ApiRouter>(*Requests, *RequestReads, *Accounts, *Status,
                                  Jobs->commands(), Jobs->queries(), [this] {
                                    StopRequested.store(true);
                                    StopSignal.wake();
                                  });
  HttpServer::Options Options{
      .Address = Settings.api().Address.text(),
      .MaximumBodyBytes = Settings.api().MaximumBodyBytes,
      .MaximumUnreadBytes = Settings.api().MaximumUnreadBytes};
  BOOST_OUTCOME_TRY(CreatedServer,
                    HttpServer::open(
                        Options,
                        [this](ApiRequest Request, ApiRouter::Respond Done) {
                          HttpRouter->handle(std::move(Request),
                                             std::move(Done));
                        },
                        Counters));
  Server = std::move(CreatedServer);
  return success();
}

auto EntryHost::Components::adoptView(
    const std::shared_ptr<const View> &Current) -> void {
  std::set<std::string> LiveIncarnations;
  for (const Member &Entry : Current->members())
    LiveIncarnations.insert(Entry.Incarnation);
  Slots->adoptView(Current->version(), LiveIncarnations);
  Keys->adoptView(Current);
  Router->reassertClaims();
  Directory->adoptView(std::make_shared<const ShardMap>(*Current));
}

auto EntryHost::Components::runMaintenance() -> void {
  TimePoint NextKeyEviction = Clock::now();
  while (!MaintenanceSignal.isShutDown()) {
    Slots->runPeriodicTasks();
    Membership->reportFreeSlots(Slots->freeSlots());
    if (Clock::now() >= NextKeyEviction) {
      Keys->evictExpired();
      NextKeyEviction = Clock::now() + KeyEvictionInterval;
    }
    MaintenanceSignal.waitUntil(Clock::now() + MaintenanceInterval);
  }
}

auto EntryHost::Components::waitUntilIdle(TimePoint Deadline) -> void {
  auto IsBusy = [this] {
    return Router->requestsInProgress() > 0 ||
           Server->requestsInProgress() > 0 || Keys->outstandingReports() > 0;
  };
  while (IsBusy() && !StopEndsEarly.load() && Clock::now() < Deadline)
    std::this_thread::sleep_for(StopPollInterval);
}

auto EntryHost::Components::run() -> std::size_t {
  while (!StopRequested.load())
    StopSignal.waitUntil(Clock::now() + std::chrono::hours(1));
  TimePoint Deadline = Clock::now() + Settings.stop().Timeout;
  logEvent(LogLevel::Info, "stop_started",
           {{"in_progress", std::to_string(Router->requestsInProgress())}});
  // Gives the load balancer time to notice that this host is no longer ready.
  TimePoint GraceEnd = Clock::now() + Settings.stop().GracePeriod;
  while (Clock::now() < GraceEnd && !StopEndsEarly.load())
    std::this_thread::sleep_for(StopPollInterval);
  Router->refuseNewRequests();
  auto HandedOver = Membership->prepareToLeave(HandoverTimeout);
  if (!HandedOver)
    logEvent(LogLevel::Warning, "handover_incomplete",
             {{"error", HandedOver.error().message()}});
  waitUntilIdle(Deadline);
  std::size_t Interrupted = Router->requestsInProgress();
  auto Left = Membership->leave(HandoverTimeout);
  logEvent(Interrupted == 0 ? LogLevel::Info : LogLevel::Warning,
           "stop_finished",
           {{"requests_cut", std::to_string(Interrupted)},
            {"left_view", Left ? "true" : "false"}});
  return Interrupted;
}

auto EntryHost::Components::stop() -> void {
  MaintenanceSignal.shutDown();
  if (MaintenanceThread.joinable())
    MaintenanceThread.join();
  if (Server)
    Server->close();
  HttpRouter.reset();
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

EntryHost::EntryHost(std::unique_ptr<Components> Impl)
    : Impl(std::move(Impl)) {}

EntryHost::~EntryHost() = default;

auto EntryHost::start(const DaemonSettings &Settings)
    -> Result<std::unique_ptr<EntryHost>> {
  auto Impl = std::make_unique<Components>(Settings);
  auto Started = Impl->start();
  if (!Started)
    return Started.error();
  return std::unique_ptr<EntryHost>(new EntryHost(std::move(Impl)));
}

auto EntryHost::beginPlannedStop() -> void {
  Impl->StopRequested.store(true);
  Impl->StopSignal.wake();
}

auto EntryHost::endStopEarly() -> void { Impl->StopEndsEarly.store(true); }

auto EntryHost::run() -> std::size_t { return Impl->run(); }

} // namespace jayramp
