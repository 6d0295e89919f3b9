#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace review {

/// A request that a stand-in has received.
struct HttpRequest {
  std::string Method;
  std::string Target; ///< Path and query.
  std::string Body;
};

struct HttpResponse {
  unsigned Status = 200;
  std::string Body;
};

/// Returns the response, or none if the request is never answered.
using HttpHandler =
    std::function<std::optional<HttpResponse>(const HttpRequest &)>;

/// Serves HTTP/1.1 on a free port of 127.0.0.1 until the process ends. Returns
/// the address as "ip:port".
auto serveHttp(HttpHandler Handler) -> std::string;

/// Request of a client, with the headers that the platform's pages name.
struct ClientCall {
  std::string Method;
  std::string Target;
  std::string Host;
  std::string ApiKey;
  std::string Body;
};

/// Sends \p Call to \p Address on a new connection. Returns none if no complete
/// response arrives within \p TimeoutMs.
auto callHttp(const std::string &Address, const ClientCall &Call,
              std::int64_t TimeoutMs) -> std::optional<HttpResponse>;

/// Returns a port of 127.0.0.1 that is reserved: only sockets that allow the
/// reuse of addresses can bind it.
auto freePort() -> unsigned;
/// Returns \p Port of 127.0.0.1.
auto loopbackEndpoint(unsigned Port) -> sockaddr_in;

/// Returns the value of \p Name in the query of \p Target, decoded; empty if it
/// is missing.
auto queryValue(const std::string &Target, const std::string &Name)
    -> std::string;

} // namespace review
