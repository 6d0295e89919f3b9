#pragma once

#include <memory>

namespace jayramp {

class ConfigurationQueries;
class ConfigurationStore;
class DaemonSettings;
class JobCommands;
class JobQueries;
class MembershipRunner;
class Metrics;
class ObjectStore;
class TableService;
class WorkerClient;
class WorkerDirectory;

/// The components of an entry host that handle jobs: the job store, the gang
/// runner and the HTTP commands and queries for jobs.
class JobSubsystem {
public:
  /// Components of the entry host that are used; they must outlive this object.
  struct Dependencies {
    TableService &Tables;
    ObjectStore &Objects;
    WorkerClient &Workers;
    MembershipRunner &Membership;
    WorkerDirectory &Directory;
    ConfigurationStore &Configurations;
    const ConfigurationQueries &ConfigurationReads;
    Metrics &Counters;
  };

  JobSubsystem(const DaemonSettings &Settings, const Dependencies &Used);
  ~JobSubsystem();
  JobSubsystem(const JobSubsystem &) = delete;
  auto operator=(const JobSubsystem &) -> JobSubsystem & = delete;

  /// Starts the threads of the gang runner.
  auto start() -> void;
  /// Ends the threads of the gang runner. Running gangs continue until their
  /// leases expire.
  auto stop() -> void;

  auto commands() -> JobCommands &;
  auto queries() -> JobQueries &;

private:
  class Components;

  std::unique_ptr<Components> Impl;
};

} // namespace jayramp
