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

/// The parts of an entry host that handle jobs, connected.
class JobSubsystem {
public:
  /// Parts of the entry host; they must outlive the job plane.
  struct Services {
    TableService &Tables;
    ObjectStore &Objects;
    WorkerClient &Workers;
    MembershipRunner &Membership;
    WorkerDirectory &Directory;
    ConfigurationStore &Configurations;
    const ConfigurationQueries &ConfigurationReads;
    Metrics &Counters;
  };

  JobSubsystem(const DaemonSettings &Settings, const Services &Parts);
  ~JobSubsystem();
  JobSubsystem(const JobSubsystem &) = delete;
  auto operator=(const JobSubsystem &) -> JobSubsystem & = delete;

  auto start() -> void;
  /// Ends the scheduler's threads; gangs go on under their leases.
  auto stop() -> void;

  auto commands() -> JobCommands &;
  auto queries() -> JobQueries &;

private:
  class Parts;

  std::unique_ptr<Parts> Body;
};

} // namespace jayramp
