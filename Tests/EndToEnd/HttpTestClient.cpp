#include "EndToEnd/HttpTestClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <stdexcept>
#include <utility>

namespace jayramp {

namespace asio = boost::asio;
namespace beast = boost::beast;

class HttpTestClient::Connection {
public:
  explicit Connection(std::string Address) : Address(std::move(Address)) {}

  auto call(const std::string &Method, const std::string &Path,
            const std::string &Body, Milliseconds Timeout) -> Response {
    if (!Stream)
      connect(Timeout);
    beast::http::request<beast::http::string_body> Request;
    Request.method_string(Method);
    Request.target(Path);
    Request.set(beast::http::field::host, Address);
    for (const auto &[Name, Value] : Headers)
      Request.set(Name, Value);
    Request.body() = Body;
    Request.prepare_payload();
    beast::http::response_parser<beast::http::string_body> Parser;
    Parser.body_limit(MaximumResponseBytes);
    Stream->expires_after(Timeout);
    runOperation([&](auto Handler) {
      beast::http::async_write(*Stream, Request, std::move(Handler));
    });
    runOperation([&](auto Handler) {
      beast::http::async_read(*Stream, Buffer, Parser, std::move(Handler));
    });
    auto Response = Parser.release();
    if (!Response.keep_alive())
      close();
    return {Response.result_int(), std::move(Response.body())};
  }

  std::map<std::string, std::string> Headers;

private:
  static constexpr std::size_t MaximumResponseBytes = 256U << 20U;

  auto connect(Milliseconds Timeout) -> void {
    auto Colon = Address.rfind(':');
    asio::ip::tcp::endpoint Endpoint(
        asio::ip::make_address(Address.substr(0, Colon)),
        static_cast<unsigned short>(std::stoi(Address.substr(Colon + 1))));
    Buffer.clear();
    Stream = std::make_unique<beast::tcp_stream>(Context);
    Stream->expires_after(Timeout);
    runOperation([&](auto Handler) {
      Stream->async_connect(Endpoint, [Handler](beast::error_code Failure) {
        Handler(Failure, 0);
      });
    });
    Stream->socket().set_option(asio::ip::tcp::no_delay(true));
  }

  auto close() -> void { Stream.reset(); }

  /// Runs one asynchronous operation and waits for its end. Synchronous
  /// operations of beast::tcp_stream ignore the timeout.
  template <typename Operation> auto runOperation(Operation Start) -> void {
    beast::error_code Failure;
    Start([&Failure](beast::error_code Code, std::size_t) { Failure = Code; });
    Context.restart();
    Context.run();
    if (!Failure)
      return;
    close();
    throw std::runtime_error(Address + ": " + Failure.message());
  }

  std::string Address;
  asio::io_context Context{1};
  std::unique_ptr<beast::tcp_stream> Stream;
  beast::flat_buffer Buffer;
};

HttpTestClient::HttpTestClient(std::string Address)
    : Impl(std::make_unique<Connection>(std::move(Address))) {}

HttpTestClient::~HttpTestClient() = default;
HttpTestClient::HttpTestClient(HttpTestClient &&) noexcept = default;
auto HttpTestClient::operator=(HttpTestClient &&) noexcept
    -> HttpTestClient & = default;

auto HttpTestClient::call(const std::string &Method, const std::string &Path,
                          const std::string &Content, Milliseconds Timeout)
    -> Response {
  return Impl->call(Method, Path, Content, Timeout);
}

auto HttpTestClient::addHeader(const std::string &Name,
                               const std::string &Value) -> void {
  Impl->Headers[Name] = Value;
}

} // namespace jayramp
