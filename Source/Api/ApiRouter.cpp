#include "Api/ApiRouter.h"

#include "Api/AccountCommands.h"
#include "Api/JobCommands.h"
#include "Api/JobQueries.h"
#include "Api/RequestCommands.h"
#include "Api/RequestQueries.h"
#include "Api/StatusQueries.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <utility>

namespace jayramp {

namespace {

// A thread waits for the table service during its whole call.
constexpr std::size_t BlockingThreadCount = 8;

/// Returns true if the path has the form /v1/\p Resource[/...] with
/// \p SegmentCount segments, "v1" included.
auto isPath(const ApiRequest &Request, const char *Resource,
            std::size_t SegmentCount) -> bool {
  return Request.Path.size() == SegmentCount && Request.Path[0] == "v1" &&
         Request.Path[1] == Resource;
}

auto notFound(const ApiRequest &Request) -> ApiResponse {
  std::string Path;
  for (const auto &Segment : Request.Path)
    Path += "/" + Segment;
  return ApiResponse::failure(
      Error::make(ErrorKind::NotFound, "path",
                  "there is no resource for " + Request.Method + " " + Path,
                  "use a path and method listed in docs/api.md"));
}

} // namespace

/// Threads for calls that block.
class ApiRouter::BlockingPool {
public:
  explicit BlockingPool(std::size_t ThreadCount) : Threads(ThreadCount) {}
  ~BlockingPool() { Threads.join(); }
  BlockingPool(const BlockingPool &) = delete;
  auto operator=(const BlockingPool &) -> BlockingPool & = delete;

  /// Runs \p Command and passes its response to \p Done.
  auto run(const std::function<ApiResponse()> &Command, const Respond &Done)
      -> void {
    post([Command, Done] { Done(Command()); });
  }

  /// Runs \p Command, which sends its response itself.
  auto post(std::function<void()> Command) -> void {
    boost::asio::post(Threads, std::move(Command));
  }

private:
  boost::asio::thread_pool Threads;
};

ApiRouter::ApiRouter(RequestCommands &Requests, RequestQueries &RequestReads,
                     AccountCommands &Accounts, StatusQueries &Status,
                     JobCommands &Jobs, JobQueries &JobReads,
                     std::function<void()> Drain)
    : Requests(Requests), RequestReads(RequestReads), Accounts(Accounts),
      Status(Status), Jobs(Jobs), JobReads(JobReads), Drain(std::move(Drain)),
      BlockingCalls(std::make_unique<BlockingPool>(BlockingThreadCount)) {}

ApiRouter::~ApiRouter() = default;

auto ApiRouter::handle(ApiRequest Request, Respond Done) -> void {
  if (handleRequests(Request, Done) || handleJobs(Request, Done) ||
      handleConfiguration(Request, Done) || handleStatus(Request, Done))
    return;
  Done(notFound(Request));
}

auto ApiRouter::handleRequests(const ApiRequest &Request, const Respond &Done)
    -> bool {
  if (Request.Method == "POST" && isPath(Request, "requests", 2)) {
    Requests.submit(Request.Body, Done);
    return true;
  }
  if (Request.Method == "DELETE" && isPath(Request, "requests", 4)) {
    Requests.cancel(Request.Path[2], Request.Path[3], Done);
    return true;
  }
  if (Request.Method == "GET" && isPath(Request, "requests", 4)) {
    RequestReads.show(Request.Path[2], Request.Path[3], Done);
    return true;
  }
  return false;
}

auto ApiRouter::handleJobs(const ApiRequest &Request, const Respond &Done)
    -> bool {
  const bool IsRead = Request.Method == "GET";
  if (Request.Method == "POST" && isPath(Request, "jobs", 2)) {
    BlockingCalls->post(
        [this, Request, Done] { Jobs.submit(Request.Body, Done); });
  } else if (IsRead && isPath(Request, "jobs", 2)) {
    auto Account = Request.Query.find("account");
    std::string Name =
        Account == Request.Query.end() ? std::string() : Account->second;
    BlockingCalls->run([this, Name] { return JobReads.list(Name); }, Done);
  } else if (IsRead && isPath(Request, "jobs", 3)) {
    BlockingCalls->run(
        [this, Request] { return JobReads.show(Request.Path[2]); }, Done);
  } else if (Request.Method == "DELETE" && isPath(Request, "jobs", 3)) {
    Jobs.cancel(Request.Path[2], Done);
  } else {
    return false;
  }
  return true;
}

auto ApiRouter::handleConfiguration(const ApiRequest &Request,
                                    const Respond &Done) -> bool {
  bool IsWrite = Request.Method == "PUT";
  bool IsRead = Request.Method == "GET";
  if (IsRead && isPath(Request, "configuration", 2)) {
    Done(Status.configuration());
  } else if (IsRead && isPath(Request, "accounts", 2)) {
    Done(Status.accounts());
  } else if (IsRead && isPath(Request, "accounts", 3)) {
    Done(Status.account(Request.Path[2]));
  } else if (IsWrite && isPath(Request, "configuration", 2)) {
    BlockingCalls->run(
        [this, Request] { return Accounts.changeConfiguration(Request.Body); },
        Done);
  } else if (IsWrite && isPath(Request, "accounts", 3)) {
    BlockingCalls->run(
        [this, Request] {
          return Accounts.setAccount(Request.Path[2], Request.Body);
        },
        Done);
  } else if (Request.Method == "DELETE" && isPath(Request, "accounts", 3)) {
    BlockingCalls->run(
        [this, Request] { return Accounts.removeAccount(Request.Path[2]); },
        Done);
  } else {
    return false;
  }
  return true;
}

auto ApiRouter::handleStatus(const ApiRequest &Request, const Respond &Done)
    -> bool {
  if (Request.Method == "GET" && isPath(Request, "status", 2)) {
    Done(Status.status());
  } else if (Request.Method == "GET" && isPath(Request, "ready", 2)) {
    Done(Status.ready());
  } else if (Request.Method == "GET" && Request.Path.size() == 1 &&
             Request.Path[0] == "metrics") {
    Done(Status.metrics());
  } else if (Request.Method == "POST" && isPath(Request, "drain", 2)) {
    Drain();
    Done(ApiResponse::text(202, "draining\n"));
  } else {
    return false;
  }
  return true;
}

} // namespace jayramp
