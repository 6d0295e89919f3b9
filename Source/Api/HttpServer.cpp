#include "Api/HttpServer.h"

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"

#include <cpprest/uri.h>
#include <pplx/threadpool.h>

#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>
#include <utility>

namespace jayramp {

namespace {

constexpr std::uint32_t MaximumHeaderBytes = 16384;
/// Time to receive a whole request; a body of some MiB may come from far.
constexpr Milliseconds RequestTime{30000};
/// Time for a whole response, and until an idle connection is closed.
constexpr Milliseconds IdleTime{120000};
/// Headers and read buffers, in addition to the bodies.
constexpr std::size_t HeaderReserveBytes = std::size_t{4} << 20U;
/// Descriptors for calls to peers, workers and the store, and for files: one
/// of this many parts.
constexpr std::size_t DescriptorParts = 4;
constexpr std::size_t MinimumLingerBytes = std::size_t{16} << 20U;
constexpr std::size_t MaximumConnections = 32768;

auto connectionLimit() -> std::size_t {
  rlimit Descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &Descriptors) != 0)
    return net::ConnectionLimits{}.MaxConnections;
  const auto Usable =
      std::min<rlim_t>(Descriptors.rlim_cur, 2 * MaximumConnections);
  return std::min(MaximumConnections, static_cast<std::size_t>(Usable) *
                                          (DescriptorParts - 1) /
                                          DescriptorParts);
}

auto refusalPlace(unsigned Status) -> std::string {
  return Status == 413 ? "body" : Status == 431 ? "header" : "connection";
}

/// Returns the error reply for a request that the server refuses.
auto renderRefusal(unsigned Status, const std::string &Detail)
    -> net::HttpResponse {
  const auto Kind =
      Status == 503 ? ErrorKind::Unavailable : ErrorKind::InvalidArgument;
  const auto *Remedy =
      Status == 503   ? "repeat the request after 1,000 ms; it did not run"
      : Status == 413 ? "send a smaller body or raise api.maximum_body_kib"
                      : "correct the request; it did not run";
  const auto Reply = ApiResponse::failure(
      Error::make(Kind, refusalPlace(Status), Detail, Remedy));
  return {Status, {{"Content-Type", Reply.ContentType}}, Reply.Body};
}

auto toApiRequest(net::HttpRequest Source) -> ApiRequest {
  ApiRequest Target;
  const web::uri Address(Source.Target);
  Target.Method = std::move(Source.Method);
  for (const auto &Segment : web::uri::split_path(Address.path()))
    Target.Path.push_back(web::uri::decode(Segment));
  for (const auto &[Name, Value] : web::uri::split_query(Address.query()))
    Target.Query[web::uri::decode(Name)] = web::uri::decode(Value);
  Target.Body = std::move(Source.Body);
  return Target;
}

} // namespace

class HttpServer::Implementation {
public:
  Implementation(Options Settings, Handler Handle, Metrics &Registry)
      : Settings(std::move(Settings)),
        Handle(std::make_shared<Handler>(std::move(Handle))),
        Registry(Registry), Loop(std::make_shared<net::EventLoop>()) {}
  ~Implementation() { close(); }
  Implementation(const Implementation &) = delete;
  auto operator=(const Implementation &) -> Implementation & = delete;

  auto open() -> Result<void> {
    net::HttpServer::Options Limits;
    Limits.Name = "api";
    Limits.Sums.MaxConnections = connectionLimit();
    Limits.Sums.ListenBacklog = SOMAXCONN;
    Limits.Sums.MaxHeldBytes = Settings.MaximumUnreadBytes + HeaderReserveBytes;
    // A client that sends a body that is too large reads the answer only after
    // it has sent all of it.
    Limits.Sums.MaxLingerBytes =
        std::max(MinimumLingerBytes, 4 * Settings.MaximumBodyBytes);
    Limits.OnLimit = [this](std::string_view Reason) {
      Registry.count("jayramp_http_refused_total",
                     "reason=\"" + std::string(Reason) + "\"");
    };
    Limits.RenderRefusal = renderRefusal;
    BOOST_OUTCOME_TRY(Listening,
                      net::HttpServer::listen(
                          *Loop, Settings.Address,
                          [this](net::HttpRequest Request,
                                 net::HttpServer::Responder Respond) {
                            receive(std::move(Request), std::move(Respond));
                          },
                          std::move(Limits)));
    Server.emplace(std::move(Listening));
    net::HttpLimits Messages;
    Messages.MaxHeaderBytes = MaximumHeaderBytes;
    Messages.MaxBodyBytes = Settings.MaximumBodyBytes;
    Messages.MaxFramingBytes =
        net::HttpLimits::framingOf(Settings.MaximumBodyBytes);
    Messages.HeaderTimeout = RequestTime;
    Messages.IdleTimeout = IdleTime;
    Server->setLimits(Messages);
    Thread = std::thread([Loop = Loop] { Loop->run(); });
    return success();
  }

  auto close() -> void {
    if (Closed.exchange(true) || !Thread.joinable())
      return;
    Loop->stop();
    Thread.join();
    Server.reset();
  }

  auto requestsInProgress() const -> std::size_t {
    return Closed || !Server
               ? 0
               : Server->requestsInProgress() + Server->requestsBeingReceived();
  }

private:
  /// Passes the request on to the pool of the HTTP library, so that the loop
  /// only reads and writes.
  auto receive(net::HttpRequest Request, net::HttpServer::Responder Answer)
      -> void {
    auto Responded = std::make_shared<std::atomic<bool>>(false);
    // Handlers may keep copies of the reply on any thread. The connection that
    // the answer owns is only ever released on the loop.
    const std::shared_ptr<net::HttpServer::Responder> Owned(
        new net::HttpServer::Responder(std::move(Answer)),
        [Loop = Loop](net::HttpServer::Responder *Released) {
          Loop->post([Last = std::shared_ptr<net::HttpServer::Responder>(
                          Released)] {});
        });
    Respond Reply = [Loop = Loop, Responded, Owned](ApiResponse Response) {
      if (Responded->exchange(true))
        return;
      net::HttpResponse Message{static_cast<unsigned>(Response.Status),
                                {{"Content-Type", Response.ContentType}},
                                std::move(Response.Body)};
      Loop->post([Owned, Message = std::move(Message)]() mutable {
        (*Owned)(std::move(Message));
      });
    };
    auto Work = [Handle = Handle, Reply = std::move(Reply),
                 Request =
                     std::make_shared<net::HttpRequest>(std::move(Request))] {
      pass(*Handle, std::move(*Request), Reply);
    };
    crossplat::threadpool::shared_instance().service().post(std::move(Work));
  }

  static auto pass(const Handler &Handle, net::HttpRequest Request,
                   const Respond &Reply) -> void {
    ApiRequest Parsed;
    try {
      Parsed = toApiRequest(std::move(Request));
    } catch (const std::exception &Failure) {
      return Reply(ApiResponse::failure(
          Error::make(ErrorKind::InvalidArgument, "path", Failure.what(),
                      "percent-encode the path and the query")));
    }
    try {
      Handle(std::move(Parsed), Reply);
    } catch (const std::exception &Failure) {
      logEvent(LogLevel::Error, "request_failed", {{"error", Failure.what()}});
      Reply(ApiResponse::failure(Error::make(ErrorKind::Internal, "request",
                                             Failure.what(),
                                             "report it with the log")));
    }
  }

  Options Settings;
  std::shared_ptr<Handler> Handle;
  Metrics &Registry;
  std::shared_ptr<net::EventLoop> Loop;
  std::optional<net::HttpServer> Server;
  std::thread Thread;
  std::atomic<bool> Closed{false};
};

HttpServer::HttpServer(std::shared_ptr<Implementation> Impl)
    : Impl(std::move(Impl)) {}

HttpServer::~HttpServer() { close(); }

auto HttpServer::open(Options Settings, Handler Handle, Metrics &Registry)
    -> Result<std::unique_ptr<HttpServer>> {
  auto Impl = std::make_shared<Implementation>(std::move(Settings),
                                               std::move(Handle), Registry);
  auto Opened = Impl->open();
  if (!Opened)
    return Opened.error();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(Impl)));
}

auto HttpServer::requestsInProgress() const -> std::size_t {
  return Impl->requestsInProgress();
}

auto HttpServer::close() -> void { Impl->close(); }

} // namespace jayramp
