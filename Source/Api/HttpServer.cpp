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

auto bodyTooLargeResponse(std::size_t Limit) -> ApiResponse {
  auto Response = ApiResponse::failure(
      Error::make(ErrorKind::InvalidArgument, "body",
                  "the body is larger than " + std::to_string(Limit) + " bytes",
                  "send a smaller body or raise api.maximum_body_kib"));
  Response.Status = 413;
  return Response;
}

auto truncatedBodyResponse() -> ApiResponse {
  return ApiResponse::failure(
      Error::make(ErrorKind::InvalidArgument, "body",
                  "the connection ended before the declared length of the body",
                  "send the whole body or correct Content-Length"));
}

auto overloadedResponse() -> ApiResponse {
  return ApiResponse::failure(
      Error::make(ErrorKind::Unavailable, "body",
                  "the host is receiving too many request bodies at once",
                  "repeat the request after 1,000 ms; it did not run"));
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
      // The listener is destroyed next, so a failed close needs no handling.
    }
  }

  auto requestsInProgress() const -> std::size_t { return InProgress.load(); }

private:
  auto receive(const http::http_request &Request) -> void {
    ++InProgress;
    std::size_t DeclaredBytes = Request.headers().content_length();
    if (DeclaredBytes > Settings.MaximumBodyBytes) {
      Registry.count("jayramp_http_refused_total", "reason=\"BODY_TOO_LARGE\"");
      return send(Request, bodyTooLargeResponse(Settings.MaximumBodyBytes));
    }
    if (UnreadBytes.fetch_add(DeclaredBytes) + DeclaredBytes >
        Settings.MaximumUnreadBytes) {
      UnreadBytes -= DeclaredBytes;
      Registry.count("jayramp_http_refused_total", "reason=\"UNREAD_BODIES\"");
      return send(Request, overloadedResponse());
    }
    auto Self = shared_from_this();
    Request.extract_vector().then(
        [Self, Request,
         DeclaredBytes](const pplx::task<std::vector<unsigned char>> &Read) {
          Self->UnreadBytes -= DeclaredBytes;
          Self->handleBody(Request, Read);
        });
  }

  auto handleBody(const http::http_request &Request,
                  const pplx::task<std::vector<unsigned char>> &Read) -> void {
    std::vector<unsigned char> Bytes;
    try {
      Bytes = Read.get();
    } catch (const std::exception &) {
      return send(Request, truncatedBodyResponse());
    }
    // A chunked body declares no length, so its size is unknown until now.
    if (Bytes.size() > Settings.MaximumBodyBytes)
      return send(Request, bodyTooLargeResponse(Settings.MaximumBodyBytes));
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
    auto Responded = std::make_shared<std::atomic<bool>>(false);
    Handle(std::move(Parsed), [Self, Request, Responded](ApiResponse Response) {
      if (!Responded->exchange(true))
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
      --Self->InProgress;
    });
  }

  Options Settings;
  Handler Handle;
  Metrics &Registry;
  std::unique_ptr<http_listener> Listener;
  std::atomic<std::size_t> InProgress{0};
  std::atomic<std::size_t> UnreadBytes{0};
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
