#pragma once

#include "Api/ApiResponse.h"
#include "Base/Result.h"

#include <functional>
#include <string>

namespace jayramp::v1 {
class SubmitRequest;
} // namespace jayramp::v1

namespace jayramp {

class ConfigurationQueries;
class RequestRouter;

/// Commands of callers on requests.
class RequestCommands {
public:
  using Respond = std::function<void(ApiResponse)>;

  /// The references must outlive this object.
  RequestCommands(RequestRouter &Router, const ConfigurationQueries &Settings);

  /// POST /v1/requests: 200 with the outcome, or an error that names the field.
  auto submit(const std::string &Body, Respond Done) -> void;

  /// DELETE /v1/requests/{account}/{key}: 200 with the outcome of the waiting
  /// request that was cancelled, 404 or 409 otherwise.
  auto cancel(const std::string &Account, const std::string &Key,
              const Respond &Done) -> void;

private:
  auto check(const v1::SubmitRequest &Request) const -> Result<void>;

  RequestRouter &Router;
  const ConfigurationQueries &Settings;
};

} // namespace jayramp
