#include "Daemon/JobSubsystem.h"

#include "Api/JobCommands.h"
#include "Api/JobQueries.h"
#include "Configuration/ConfigurationStore.h"
#include "Jobs/AccountPolicyMapping.h"
#include "Jobs/GangRunner.h"
#include "Jobs/GangRunnerInputs.h"
#include "Jobs/JobEditBatcher.h"
#include "Jobs/JobStore.h"
#include "Membership/MembershipRunner.h"
#include "Membership/ShardMap.h"
#include "Requests/WorkerDirectory.h"
#include "Settings/DaemonSettings.h"

#include <utility>

namespace jayramp {

namespace {

/// Determines whether this host is the scheduler and may change gangs. Not
/// thread safe; the gang runner calls it from one thread.
class RoleReader {
public:
  RoleReader(const MembershipRunner &Membership, std::string HostName)
      : Membership(&Membership), HostName(std::move(HostName)) {}

  auto operator()() -> SchedulerRole {
    auto Current = Membership->view();
    // Building a shard map is expensive, so it is done once for each view.
    if (Current != LastView) {
      LastView = Current;
      Scheduler = ShardMap(*Current).scheduler();
    }
    SchedulerRole Role;
    Role.ViewVersion = Current->version();
    Role.IsScheduler = Scheduler == HostName &&
                       Current->contains(HostName, Membership->incarnation());
    if (!Role.IsScheduler)
      return Role;
    auto Decision = Membership->servingDecision();
    const auto *Permitted = std::get_if<ServingPermitted>(&Decision);
    Role.MayChangeGangs =
        Permitted && Permitted->ViewVersion == Role.ViewVersion;
    return Role;
  }

private:
  const MembershipRunner *Membership;
  std::string HostName;
  std::shared_ptr<const View> LastView;
  std::string Scheduler; ///< Host name of the scheduler in LastView.
};

auto listedWorkers(const WorkerDirectory &Directory)
    -> std::vector<ListedWorker> {
  std::vector<ListedWorker> Workers;
  for (const auto &Worker : Directory.workers())
    Workers.push_back({Worker.HostListEntry.Name, Worker.HostListEntry.Address,
                       Worker.HostListEntry.AvailabilityZone,
                       Worker.HostListEntry.Rack,
                       Worker.HostListEntry.Leaving || Worker.Status.Leaving});
  return Workers;
}

auto gangRunnerOptions(const DaemonSettings &Settings) -> GangRunner::Options {
  GangRunner::Options Options;
  Options.HostName = Settings.host().Name;
  Options.SurplusLeaseDuration = Settings.jobs().SurplusLeaseDuration;
  Options.GuaranteedLeaseDuration = Settings.jobs().GuaranteedLeaseDuration;
  Options.CheckpointTimeout = Settings.jobs().CheckpointTimeout;
  Options.ThrottleTimeout = Settings.jobs().ThrottleTimeout;
  Options.StopTimeout = Settings.jobs().StopTimeout;
  Options.RenewInterval = Settings.workers().StatusInterval;
  return Options;
}

} // namespace

class JobSubsystem::Components {
public:
  Components(const DaemonSettings &Settings, const Dependencies &Used)
      : Store(Used.Tables, Used.Objects),
        Runner(gangRunnerOptions(Settings),
               {.ReadRole = RoleReader(Used.Membership, Settings.host().Name),
                .ReadWorkers =
                    [&Directory = Used.Directory] {
                      return listedWorkers(Directory);
                    },
                .ReadAccounts =
                    [&Configurations = Used.Configurations] {
                      return toAccountPolicies(*Configurations.current());
                    }},
               Store, Used.Workers, Used.Counters),
        Writes(Store, Used.Counters),
        Commands(Settings.host().Name, Store, Writes, Used.ConfigurationReads,
                 [this] { Runner.pollSoon(); }),
        Queries(Store) {}

  JobStore Store;
  GangRunner Runner;
  // Declared after Runner, because the callbacks of the last edits use it, and
  // before Commands, which uses the batcher.
  JobEditBatcher Writes;
  JobCommands Commands;
  JobQueries Queries;
};

JobSubsystem::JobSubsystem(const DaemonSettings &Settings,
                           const Dependencies &Used)
    : Impl(std::make_unique<Components>(Settings, Used)) {}

JobSubsystem::~JobSubsystem() = default;

auto JobSubsystem::start() -> void { Impl->Runner.start(); }

auto JobSubsystem::stop() -> void { Impl->Runner.stop(); }

auto JobSubsystem::commands() -> JobCommands & { return Impl->Commands; }

auto JobSubsystem::queries() -> JobQueries & { return Impl->Queries; }

} // namespace jayramp
