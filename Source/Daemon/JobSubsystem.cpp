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

/// Tells the role of this host; used by one thread.
class RoleReader {
public:
  RoleReader(const MembershipRunner &Membership, std::string HostName)
      : Membership(&Membership), HostName(std::move(HostName)) {}

  auto operator()() -> SchedulerRole {
    auto Newer = Membership->view();
    if (Newer != Known) { // A map is too large to be made in every step.
      Known = Newer;
      Scheduler = ShardMap(*Newer).scheduler();
    }
    SchedulerRole Role;
    Role.ViewVersion = Newer->version();
    Role.IsScheduler = Scheduler == HostName &&
                       Newer->contains(HostName, Membership->incarnation());
    if (!Role.IsScheduler)
      return Role;
    auto Decision = Membership->serving();
    const auto *Permitted = std::get_if<ServingPermitted>(&Decision);
    Role.MayChangeGangs =
        Permitted && Permitted->ViewVersion == Role.ViewVersion;
    return Role;
  }

private:
  const MembershipRunner *Membership;
  std::string HostName;
  std::shared_ptr<const View> Known;
  std::string Scheduler;
};

auto listedWorkers(const WorkerDirectory &Directory)
    -> std::vector<ListedWorker> {
  std::vector<ListedWorker> Workers;
  for (const auto &Known : Directory.workers())
    Workers.push_back({Known.HostListEntry.Name, Known.HostListEntry.Address,
                       Known.HostListEntry.AvailabilityZone,
                       Known.HostListEntry.Rack,
                       Known.HostListEntry.Leaving || Known.Status.Leaving});
  return Workers;
}

auto optionsOf(const DaemonSettings &Settings) -> GangRunner::Options {
  GangRunner::Options Options;
  Options.HostName = Settings.host().Name;
  Options.SurplusLease = Settings.jobs().SurplusLease;
  Options.GuaranteedLease = Settings.jobs().Lease;
  Options.CheckpointTimeout = Settings.jobs().Checkpoint;
  Options.ThrottleTimeout = Settings.jobs().Throttle;
  Options.StopTimeout = Settings.jobs().Stop;
  Options.RenewInterval = Settings.workers().Status;
  return Options;
}

} // namespace

class JobSubsystem::Parts {
public:
  Parts(const DaemonSettings &Settings, const Services &Given)
      : Store(Given.Tables, Given.Objects),
        Runner(optionsOf(Settings),
               {.ReadRole = RoleReader(Given.Membership, Settings.host().Name),
                .ReadWorkers =
                    [&Directory = Given.Directory] {
                      return listedWorkers(Directory);
                    },
                .ReadAccounts =
                    [&Configurations = Given.Configurations] {
                      return toAccountPolicies(*Configurations.current());
                    }},
               Store, Given.Workers, Given.Counters),
        Writes(Store, Given.Counters),
        Commands(Settings.host().Name, Store, Writes, Given.ConfigurationReads,
                 [this] { Runner.pollSoon(); }),
        Queries(Store) {}

  JobStore Store;
  GangRunner Runner;
  // Destroyed after Commands and Queries; its last answers use Runner.
  JobEditBatcher Writes;
  JobCommands Commands;
  JobQueries Queries;
};

JobSubsystem::JobSubsystem(const DaemonSettings &Settings,
                           const Services &Given)
    : Body(std::make_unique<Parts>(Settings, Given)) {}

JobSubsystem::~JobSubsystem() = default;

auto JobSubsystem::start() -> void { Body->Runner.start(); }

auto JobSubsystem::stop() -> void { Body->Runner.stop(); }

auto JobSubsystem::commands() -> JobCommands & { return Body->Commands; }

auto JobSubsystem::queries() -> JobQueries & { return Body->Queries; }

} // namespace jayramp
