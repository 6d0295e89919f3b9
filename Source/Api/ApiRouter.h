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

/// Dispatches HTTP requests to the commands and queries for their path. Calls
/// that block run on the router's own thread pool.
class ApiRouter {
public:
  using Respond = std::function<void(ApiResponse)>;

  /// The referenced objects must outlive the router. \p Drain begins a planned
  /// stop of the entry host.
  ApiRouter(RequestCommands &Requests, RequestQueries &RequestReads,
            AccountCommands &Accounts, StatusQueries &Status, JobCommands &Jobs,
            JobQueries &JobReads, std::function<void()> Drain);
  /// Blocks until the calls in progress on the thread pool have ended.
  ~ApiRouter();
  ApiRouter(const ApiRouter &) = delete;
  auto operator=(const ApiRouter &) -> ApiRouter & = delete;

  /// Handles \p Request without blocking. \p Done is called exactly once, with
  /// 404 if no path and method match.
  auto handle(ApiRequest Request, Respond Done) -> void;

private:
  class BlockingPool;

  // Each of these returns false if the path and the method are not its own.
  auto handleRequests(const ApiRequest &Request, const Respond &Done) -> bool;
  auto handleJobs(const ApiRequest &Request, const Respond &Done) -> bool;
  auto handleConfiguration(const ApiRequest &Request, const Respond &Done)
      -> bool;
  auto handleStatus(const ApiRequest &Request, const Respond &Done) -> bool;

  RequestCommands &Requests;
  RequestQueries &RequestReads;
  AccountCommands &Accounts;
  StatusQueries &Status;
  JobCommands &Jobs;
  JobQueries &JobReads;
  std::function<void()> Drain;
  std::unique_ptr<BlockingPool> BlockingCalls;
};

} // namespace jayramp
