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

/// Handles the HTTP calls of callers that submit and cancel jobs. Any entry
/// host can handle them, whether it runs the scheduler or not.
class JobCommands {
public:
  using Respond = std::function<void(ApiResponse)>;

  /// The referenced objects must outlive this object. \p OnRowsChanged is
  /// called after each write, so that a scheduler on this host reads the change
  /// at once instead of at its next poll.
  JobCommands(std::string HostName, JobStore &Store, JobEditBatcher &Writes,
              const ConfigurationQueries &Settings,
              std::function<void()> OnRowsChanged);
  ~JobCommands();

  /// Handles POST /v1/jobs. Blocks and must not run on a thread of the HTTP
  /// pool. \p Done is called exactly once: with 201 for a new job, 200 for a
  /// repeated submission, 409 if the key belongs to another job, 503 if the job
  /// could not be stored, or another error status.
  auto submit(const std::string &Body, const Respond &Done) -> void;
  /// Handles DELETE /v1/jobs/{id} without blocking. \p Done is called exactly
  /// once: with 200 if the job is or will be cancelled, 404 if it is unknown,
  /// 409 if it has already ended, 503 if the table service failed.
  auto cancel(const std::string &Id, const Respond &Done) -> void;

private:
  auto checkTopologyFit(const JobSpecification &Job) -> Result<void>;
  auto storeFailureResponse(const std::string &Account, const std::string &Key,
                            const JobEditResult &Result) const -> ApiResponse;

  const std::string HostName;
  JobStore &Store;
  JobEditBatcher &Writes;
  const ConfigurationQueries &Settings;
  std::function<void()> OnRowsChanged;
  std::mutex Mutex; ///< Guards the members below.
  /// Scheduler without jobs that checks whether a submitted job can ever fit
  /// the topology.
  std::unique_ptr<JobScheduler> FitChecker;
  std::uint64_t FitCheckerConfigurationVersion = 0;
  TimePoint FitCheckerExpiry;
};

} // namespace jayramp
