#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace jayramp::review {

/// An HTTP/1.1 request; names of headers are in lower case.
struct Request {
  std::string Method;
  std::string Target;
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Returns the value of a parameter of the query, decoded; empty if missing.
  auto parameter(const std::string &Name) const -> std::string;
  auto path() const -> std::string;
};

struct Response {
  int Status = 200;
  std::string Body;
};

/// A server on a loopback address with one thread for each connection. The
/// handler returns none to break the connection off without an answer.
class HttpServer {
public:
  using Handler = std::function<std::optional<Response>(const Request &)>;

  /// Listens on \p Ip at \p Port, or at a free port if it is 0.
  HttpServer(const std::string &Ip, int Port, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

  auto port() const -> int { return Port; }
  /// Closes the listener and resets all connections, as the end of a process
  /// does.
  auto stop() -> void;

private:
  auto accept() -> void;
  auto serve(int Socket) -> void;

  Handler OnRequest;
  int Listener = -1;
  int Port = 0;
  std::atomic<bool> Stopped{false};
  std::mutex Guard;
  std::condition_variable Closed;
  std::list<int> Open; ///< One for each thread that serves a connection.
  std::thread Acceptor;
};

/// Sends a request on a new connection and returns the answer; none if there
/// was no whole answer in time.
auto callHttp(const std::string &Address, const std::string &Method,
              const std::string &Target,
              const std::map<std::string, std::string> &Headers,
              const std::string &Body, int TimeoutMs)
    -> std::optional<Response>;

/// Returns a port of \p Ip that is free now.
auto freePort(const std::string &Ip) -> int;

} // namespace jayramp::review
