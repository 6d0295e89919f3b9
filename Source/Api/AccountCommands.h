#pragma once

#include "Api/ApiResponse.h"

#include <string>

namespace jayramp {

class ConfigurationCommands;
class ConfigurationQueries;

/// Handles the HTTP calls of operators that change the configuration or its
/// client accounts. The calls block and must not run on a thread of the HTTP
/// pool.
class AccountCommands {
public:
  /// \p Commands and \p Queries must outlive this object.
  AccountCommands(ConfigurationCommands &Commands,
                  const ConfigurationQueries &Queries);

  /// Handles PUT /v1/configuration. Returns 200 if all entry hosts use the new
  /// version, 202 with the hosts that have not confirmed it within the timeout,
  /// 409 if the expected version is not the current one, or an error status.
  auto changeConfiguration(const std::string &Body) -> ApiResponse;

  /// Handles PUT /v1/accounts/{name}, which adds or replaces an account.
  /// Returns the same statuses as changeConfiguration().
  auto setAccount(const std::string &Name, const std::string &Body)
      -> ApiResponse;

  /// Handles DELETE /v1/accounts/{name}. Returns 404 if there is no such
  /// account, else the same statuses as changeConfiguration().
  auto removeAccount(const std::string &Name) -> ApiResponse;

private:
  ConfigurationCommands &Commands;
  const ConfigurationQueries &Queries;
};

} // namespace jayramp
