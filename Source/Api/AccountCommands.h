#pragma once

#include "Api/ApiResponse.h"

#include <string>

namespace jayramp {

class ConfigurationCommands;
class ConfigurationQueries;

/// Commands of operators on the configuration and its accounts. The calls
/// block; they must not run on a thread of the HTTP pool.
class AccountCommands {
public:
  /// The references must outlive this object.
  AccountCommands(ConfigurationCommands &Commands,
                  const ConfigurationQueries &Queries);

  /// PUT /v1/configuration: 200 accepted, 202 pending, 409 conflict.
  auto changeConfiguration(const std::string &Body) -> ApiResponse;

  /// PUT /v1/accounts/{name}.
  auto setAccount(const std::string &Name, const std::string &Body)
      -> ApiResponse;

  /// DELETE /v1/accounts/{name}.
  auto removeAccount(const std::string &Name) -> ApiResponse;

private:
  ConfigurationCommands &Commands;
  const ConfigurationQueries &Queries;
};

} // namespace jayramp
