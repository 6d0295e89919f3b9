#include "Api/HttpServer.h"

#include "Base/Metrics.h"

#include <cpprest/http_listener.h>
#include <cpprest/uri.h>

#include <atomic>
#include <utility>

namespace jayramp {

namespace http = web::http;
using http::experimental::listener::http_listener;

namespace {

auto tooLarge(std::size_t Limit) -> ApiResponse {
  auto Response = ApiResponse::failure(
      Error::make(ErrorKind::InvalidArgument, "body",
                  "the body is larger than " + std::to_string(Limit) + " bytes",
                  "send a smaller body or raise api.maximum_body_kib"));
  Response.Status = 413;
  return Response;
}

auto unreadable() -> ApiResponse {
  return ApiResponse::failure(Error::make(
      ErrorKind::InvalidArgument, "body",
      "the body ended before its declared length", "send the whole body"));
}

auto overloaded() -> ApiResponse {
  return ApiResponse::failure(Error::make(
      ErrorKind::Unavailable, "body", "too many unread bodies are held",
      "repeat after 1,000 ms; the request did not run"));
}

auto toApiRequest(const http::http_request &Source) -> ApiRequest {
  ApiRequest Target;
  Target.Method = Source.method();
  for (const auto &Segment : web::uri::split_path(Source.relative_uri().path()))
    Target.Path.push_back(web::uri::decode(Segment));
  for (const auto &[Name, Value] :
       web::uri::split_query(Source.relative_uri().query()))
    Target.Query[web::uri::decode(Name)] = web::uri::decode(Value);
  return Target;
}

} // namespace

class HttpServer::Implementation
    : public std::enable_shared_from_this<Implementation> {
public:
  Implementation(Options Settings, Handler Handle, Metrics &Registry)
      : Settings(std::move(Settings)), Handle(std::move(Handle)),
        Registry(Registry) {}

  auto open() -> Result<void> {
    try {
      Listener = std::make_unique<http_listener>(
          web::uri("http://" + Settings.Address));
      std::weak_ptr<Implementation> Weak = weak_from_this();
      Listener->support([Weak](const http::http_request &Request) {
        if (auto Self = Weak.lock())
          Self->receive(Request);
      });
      Listener->open().wait();
    } catch (const std::exception &Failure) {
      return Error::make(ErrorKind::Unavailable, Settings.Address,
                         std::string("cannot listen: ") + Failure.what(),
                         "choose an address of this host that is not in use");
    }
    return success();
  }

  auto close() -> void {
    if (Closed.exchange(true))
      return;
    try {
      Listener->close().wait();
    } catch (const std::exception &) {
      // The listener is going away in any case.
    }
  }

  auto requestsInProgress() const -> std::size_t { return Pending.load(); }

private:
  auto receive(const http::http_request &Request) -> void {
    ++Pending;
    std::size_t Declared = Request.headers().content_length();
    if (Declared > Settings.MaximumBodyBytes) {
      Registry.count("jayramp_http_refused_total", "reason=\"BODY_TOO_LARGE\"");
      return send(Request, tooLarge(Settings.MaximumBodyBytes));
    }
    if (Unread.fetch_add(Declared) + Declared > Settings.MaximumUnreadBytes) {
      Unread -= Declared;
      Registry.count("jayramp_http_refused_total", "reason=\"UNREAD_BODIES\"");
      return send(Request, overloaded());
    }
    auto Self = shared_from_this();
    Request.extract_vector().then(
        [Self, Request,
         Declared](const pplx::task<std::vector<unsigned char>> &Read) {
          Self->Unread -= Declared;
          Self->bodyRead(Request, Read);
        });
  }

  auto bodyRead(const http::http_request &Request,
                const pplx::task<std::vector<unsigned char>> &Read) -> void {
    std::vector<unsigned char> Bytes;
    try {
      Bytes = Read.get();
    } catch (const std::exception &) {
      return send(Request, unreadable());
    }
    // A chunked body declares no length, so its size is known only here.
    if (Bytes.size() > Settings.MaximumBodyBytes)
      return send(Request, tooLarge(Settings.MaximumBodyBytes));
    ApiRequest Parsed;
    try {
      Parsed = toApiRequest(Request);
    } catch (const std::exception &Failure) {
      return send(Request,
                  ApiResponse::failure(Error::make(
                      ErrorKind::InvalidArgument, "path", Failure.what(),
                      "percent-encode the path and the query")));
    }
    Parsed.Body.assign(Bytes.begin(), Bytes.end());
    auto Self = shared_from_this();
    auto Answered = std::make_shared<std::atomic<bool>>(false);
    Handle(std::move(Parsed), [Self, Request, Answered](ApiResponse Response) {
      if (!Answered->exchange(true))
        Self->send(Request, std::move(Response));
    });
  }

  auto send(const http::http_request &Request, ApiResponse Response) -> void {
    http::http_response Reply(static_cast<http::status_code>(Response.Status));
    Reply.set_body(std::move(Response.Body), Response.ContentType);
    auto Self = shared_from_this();
    Request.reply(Reply).then([Self](const pplx::task<void> &Written) {
      try {
        Written.get();
      } catch (const std::exception &) {
        Self->Registry.count("jayramp_http_reply_failed_total");
      }
      --Self->Pending;
    });
  }

  Options Settings;
  Handler Handle;
  Metrics &Registry;
  std::unique_ptr<http_listener> Listener;
  std::atomic<std::size_t> Pending{0};
  std::atomic<std::size_t> Unread{0};
  std::atomic<bool> Closed{false};
};

HttpServer::HttpServer(std::shared_ptr<Implementation> Body)
    : Body(std::move(Body)) {}

HttpServer::~HttpServer() { close(); }

auto HttpServer::open(Options Settings, Handler Handle, Metrics &Registry)
    -> Result<std::unique_ptr<HttpServer>> {
  auto Body = std::make_shared<Implementation>(std::move(Settings),
                                               std::move(Handle), Registry);
  auto Opened = Body->open();
  if (!Opened)
    return Opened.error();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(Body)));
}

auto HttpServer::requestsInProgress() const -> std::size_t {
  return Body->requestsInProgress();
}

auto HttpServer::close() -> void { Body->close(); }

} // namespace jayramp
