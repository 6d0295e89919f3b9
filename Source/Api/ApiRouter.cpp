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

// Operators' changes are rare; each thread may wait for the store.
constexpr std::size_t BlockingThreads = 8;

auto isPath(const ApiRequest &Request, const char *Resource, std::size_t Size)
    -> bool {
  return Request.Path.size() == Size && Request.Path[0] == "v1" &&
         Request.Path[1] == Resource;
}

auto notFound(const ApiRequest &Request) -> ApiResponse {
  std::string Path;
  for (const auto &Segment : Request.Path)
    Path += "/" + Segment;
  return ApiResponse::failure(Error::make(
      ErrorKind::NotFound, "path", "there is no " + Request.Method + " " + Path,
      "use a path and method of docs/api.md"));
}

} // namespace

class ApiRouter::Pool {
public:
  explicit Pool(std::size_t Threads) : Threads(Threads) {}
  ~Pool() { Threads.join(); }
  Pool(const Pool &) = delete;
  auto operator=(const Pool &) -> Pool & = delete;

  auto run(const std::function<ApiResponse()> &Command, const Respond &Done)
      -> void {
    post([Command, Done] { Done(Command()); });
  }

  auto post(std::function<void()> Command) -> void {
    boost::asio::post(Threads, std::move(Command));
  }

private:
  boost::asio::thread_pool Threads;
};

ApiRouter::ApiRouter(RequestCommands &Requests, RequestQueries &Keys,
                     AccountCommands &Accounts, StatusQueries &Status,
                     JobCommands &Jobs, JobQueries &JobReads,
                     std::function<void()> Drain)
    : Requests(Requests), Keys(Keys), Accounts(Accounts), Status(Status),
      Jobs(Jobs), JobReads(JobReads), Drain(std::move(Drain)),
      Blocking(std::make_unique<Pool>(BlockingThreads)) {}

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
    Keys.show(Request.Path[2], Request.Path[3], Done);
    return true;
  }
  return false;
}

auto ApiRouter::handleJobs(const ApiRequest &Request, const Respond &Done)
    -> bool {
  const bool Read = Request.Method == "GET";
  if (Request.Method == "POST" && isPath(Request, "jobs", 2)) {
    Blocking->post([this, Request, Done] { Jobs.submit(Request.Body, Done); });
  } else if (Read && isPath(Request, "jobs", 2)) {
    auto Account = Request.Query.find("account");
    std::string Name =
        Account == Request.Query.end() ? std::string() : Account->second;
    Blocking->run([this, Name] { return JobReads.list(Name); }, Done);
  } else if (Read && isPath(Request, "jobs", 3)) {
    Blocking->run([this, Request] { return JobReads.show(Request.Path[2]); },
                  Done);
  } else if (Request.Method == "DELETE" && isPath(Request, "jobs", 3)) {
    Jobs.cancel(Request.Path[2], Done);
  } else {
    return false;
  }
  return true;
}

auto ApiRouter::handleConfiguration(const ApiRequest &Request,
                                    const Respond &Done) -> bool {
  bool Put = Request.Method == "PUT";
  bool Read = Request.Method == "GET";
  if (Read && isPath(Request, "configuration", 2)) {
    Done(Status.configuration());
  } else if (Read && isPath(Request, "accounts", 2)) {
    Done(Status.accounts());
  } else if (Read && isPath(Request, "accounts", 3)) {
    Done(Status.account(Request.Path[2]));
  } else if (Put && isPath(Request, "configuration", 2)) {
    Blocking->run(
        [this, Request] { return Accounts.changeConfiguration(Request.Body); },
        Done);
  } else if (Put && isPath(Request, "accounts", 3)) {
    Blocking->run(
        [this, Request] {
          return Accounts.setAccount(Request.Path[2], Request.Body);
        },
        Done);
  } else if (Request.Method == "DELETE" && isPath(Request, "accounts", 3)) {
    Blocking->run(
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
