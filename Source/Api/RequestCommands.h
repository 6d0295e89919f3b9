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

/// Handles the HTTP calls of callers that submit and cancel requests.
class RequestCommands {
public:
  using Respond = std::function<void(ApiResponse)>;

  /// \p Router and \p Settings must outlive this object.
  RequestCommands(RequestRouter &Router, const ConfigurationQueries &Settings);

  /// Handles POST /v1/requests. \p Done is called once: with 200 and the
  /// outcome when the request has ended, or with an error that names the
  /// invalid field.
  auto submit(const std::string &Body, Respond Done) -> void;

  /// Handles DELETE /v1/requests/{account}/{key}. \p Done is called once: with
  /// 200 and the outcome of the cancelled request if it was still waiting, else
  /// with the error of RequestRouter::cancel().
  auto cancel(const std::string &Account, const std::string &Key,
              const Respond &Done) -> void;

private:
  auto checkFields(const v1::SubmitRequest &Request) const -> Result<void>;

  RequestRouter &Router;
  const ConfigurationQueries &Settings;
};

} // namespace jayramp
