#pragma once

#include "Api/ApiResponse.h"
#include "Base/Clock.h"
#include "Base/Result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace jayramp {

class ConfigurationQueries;
class JobEditBatcher;
class JobScheduler;
class JobStore;
struct JobEditResult;
struct JobSpecification;

/// Commands of callers on jobs; the same on every entry host.
class JobCommands {
public:
  using Respond = std::function<void(ApiResponse)>;

  /// The references must outlive this object. \p RowsChanged is called after
  /// each write, so that a scheduler on this host need not wait for its poll.
  JobCommands(std::string HostName, JobStore &Store, JobEditBatcher &Writes,
              const ConfigurationQueries &Settings,
              std::function<void()> RowsChanged);
  ~JobCommands();

  /// POST /v1/jobs. Blocks; must not run on a thread of the HTTP pool.
  /// \p Done is called exactly once.
  auto submit(const std::string &Body, const Respond &Done) -> void;
  /// DELETE /v1/jobs/{id}. Never blocks.
  auto cancel(const std::string &Id, const Respond &Done) -> void;

private:
  auto checkFits(const JobSpecification &Job) -> Result<void>;
  auto notRun(const std::string &Account, const std::string &Key,
              const JobEditResult &Result) const -> ApiResponse;

  const std::string HostName;
  JobStore &Store;
  JobEditBatcher &Writes;
  const ConfigurationQueries &Settings;
  std::function<void()> RowsChanged;
  std::mutex Mutex; ///< Guards the members below.
  /// Holds no jobs; answers whether the topology can hold one.
  std::unique_ptr<JobScheduler> Checker;
  std::uint64_t CheckerVersion = 0; ///< Of the configuration.
  TimePoint CheckerUntil;
};

} // namespace jayramp
