#pragma once

#include "Api/ApiRequest.h"
#include "Api/ApiResponse.h"

#include <functional>
#include <memory>

namespace jayramp {

class AccountCommands;
class JobCommands;
class JobQueries;
class RequestCommands;
class RequestQueries;
class StatusQueries;

/// Maps HTTP paths to commands and queries. Commands that block run on a pool
/// of the router's own.
class ApiRouter {
public:
  using Respond = std::function<void(ApiResponse)>;

  /// The references must outlive the router. \p Drain begins a planned stop.
  ApiRouter(RequestCommands &Requests, RequestQueries &Keys,
            AccountCommands &Accounts, StatusQueries &Status, JobCommands &Jobs,
            JobQueries &JobReads, std::function<void()> Drain);
  /// Blocks until the commands in progress have ended.
  ~ApiRouter();
  ApiRouter(const ApiRouter &) = delete;
  auto operator=(const ApiRouter &) -> ApiRouter & = delete;

  /// Never blocks. \p Done is called exactly once.
  auto handle(ApiRequest Request, Respond Done) -> void;

private:
  class Pool;

  auto handleRequests(const ApiRequest &Request, const Respond &Done) -> bool;
  auto handleJobs(const ApiRequest &Request, const Respond &Done) -> bool;
  auto handleConfiguration(const ApiRequest &Request, const Respond &Done)
      -> bool;
  auto handleStatus(const ApiRequest &Request, const Respond &Done) -> bool;

  RequestCommands &Requests;
  RequestQueries &Keys;
  AccountCommands &Accounts;
  StatusQueries &Status;
  JobCommands &Jobs;
  JobQueries &JobReads;
  std::function<void()> Drain;
  std::unique_ptr<Pool> Blocking;
};

} // namespace jayramp
