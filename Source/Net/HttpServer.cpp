#include "Net/HttpServer.h"

#include "Base/EventLog.h"
#include "Net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace jayramp::net {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

/// Delay after a failed accept(), for example when the process has no free file
/// descriptors.
constexpr Milliseconds AcceptRetryDelay{50};
constexpr int ListenBacklog = 1024;

} // namespace

class HttpServer::Core : public std::enable_shared_from_this<Core> {
public:
  Core(EventLoop &Loop, Handler OnRequest)
      : Loop(Loop), Acceptor(Loop.context()), OnRequest(std::move(OnRequest)) {}

  auto open(const tcp::endpoint &Endpoint) -> ErrorCode {
    ErrorCode Failure;
    Acceptor.open(Endpoint.protocol(), Failure);
    if (!Failure)
      Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
    if (!Failure)
      Acceptor.bind(Endpoint, Failure);
    if (!Failure)
      Acceptor.listen(ListenBacklog, Failure);
    return Failure;
  }

  auto acceptNext() -> void;

  EventLoop &Loop;
  tcp::acceptor Acceptor;
  Handler OnRequest;
  HttpLimits Limits;
  bool Draining = false;
  std::size_t InProgress = 0;
  EventLoop::TimerHandle AcceptRetry;
};

namespace {

/// One accepted connection.
template <typename Server>
class Connection : public std::enable_shared_from_this<Connection<Server>> {
public:
  Connection(std::shared_ptr<Server> Owner, tcp::socket Socket)
      : Owner(std::move(Owner)), Socket(std::move(Socket)),
        Deadline(this->Owner->Loop.context()) {
    ErrorCode Ignored; // Without TCP_NODELAY only the latency is higher.
    this->Socket.set_option(tcp::no_delay(true), Ignored);
  }

  auto readNext() -> void {
    Parser.emplace();
    Parser->header_limit(Owner->Limits.MaxHeaderBytes);
    Parser->body_limit(Owner->Limits.MaxBodyBytes);
    startDeadline(Owner->Limits.IdleTimeout);
    // The header timeout starts with the first byte of the request.
    if (Buffer.size() > 0) {
      readMessage();
      return;
    }
    Socket.async_wait(tcp::socket::wait_read,
                      [Self = this->shared_from_this()](ErrorCode Failure) {
                        if (!Failure)
                          Self->readMessage();
                        else
                          Self->close();
                      });
  }

private:
  auto readMessage() -> void {
    startDeadline(Owner->Limits.HeaderTimeout);
    http::async_read(
        Socket, Buffer, *Parser,
        [Self = this->shared_from_this()](ErrorCode Failure, std::size_t) {
          Self->Deadline.cancel();
          if (Failure)
            Self->rejectMessage(Failure);
          else
            Self->handle();
        });
  }

  auto startDeadline(Milliseconds Timeout) -> void {
    Deadline.expires_after(Timeout);
    Deadline.async_wait([Self = this->shared_from_this()](ErrorCode Failure) {
      if (!Failure)
        Self->close();
    });
  }

  auto rejectMessage(ErrorCode Failure) -> void {
    if (Failure == http::error::body_limit)
      respondAndClose(
          {413,
           {},
           "the request body exceeds the size limit of this server\n"});
    else if (Failure == http::error::header_limit)
      respondAndClose(
          {431,
           {},
           "the request header exceeds the size limit of this server\n"});
    else if (Failure.category() ==
                 make_error_code(http::error::bad_method).category() &&
             Failure != http::error::end_of_stream &&
             Failure != http::error::partial_message)
      respondAndClose(
          {400, {}, "not an HTTP request: " + Failure.message() + "\n"});
    else
      close();
  }

  /// Sends \p Response and closes the connection.
  auto respondAndClose(HttpResponse Response) -> void {
    KeepAlive = false;
    ++Owner->InProgress;
    write(std::move(Response));
  }

  auto handle() -> void {
    auto &Received = Parser->get();
    HttpRequest Request;
    Request.Method = Received.method_string().to_string();
    Request.Target = Received.target().to_string();
    for (const auto &Field : Received)
      Request.Headers.emplace_back(Field.name_string().to_string(),
                                   Field.value().to_string());
    Request.Body = std::move(Received.body());
    KeepAlive = Received.keep_alive();
    ++Owner->InProgress;
    const auto Respond = [Self =
                              this->shared_from_this()](HttpResponse Response) {
      Self->write(std::move(Response));
    };
    try {
      Owner->OnRequest(std::move(Request), Respond);
    } catch (const std::exception &Failure) {
      logEvent(LogLevel::Error, "request-failed", {{"error", Failure.what()}});
      // The handler may have responded before it threw.
      if (!Message)
        Respond({500, {}, "internal error\n"});
    }
  }

  auto write(HttpResponse Response) -> void {
    KeepAlive = KeepAlive && !Owner->Draining;
    Message.emplace();
    Message->version(11);
    Message->result(Response.Status);
    for (const auto &[Name, Value] : Response.Headers)
      Message->set(Name, Value);
    Message->keep_alive(KeepAlive);
    Message->body() = std::move(Response.Body);
    Message->prepare_payload();
    startDeadline(Owner->Limits.IdleTimeout);
    http::async_write(
        Socket, *Message,
        [Self = this->shared_from_this()](ErrorCode Failure, std::size_t) {
          --Self->Owner->InProgress;
          Self->Deadline.cancel();
          Self->Message.reset();
          if (Failure || !Self->KeepAlive)
            Self->close();
          else
            Self->readNext();
        });
  }

  auto close() -> void {
    ErrorCode Ignored; // The peer may have closed the connection already.
    Deadline.cancel();
    Socket.shutdown(tcp::socket::shutdown_both, Ignored);
    Socket.close(Ignored);
  }

  std::shared_ptr<Server> Owner;
  tcp::socket Socket;
  boost::asio::steady_timer Deadline;
  boost::beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::optional<http::response<http::string_body>> Message;
  bool KeepAlive = true;
};

} // namespace

auto HttpServer::Core::acceptNext() -> void {
  Acceptor.async_accept([Self = shared_from_this()](ErrorCode Failure,
                                                    tcp::socket Socket) {
    if (Failure == boost::asio::error::operation_aborted)
      return;
    if (Failure) {
      Self->AcceptRetry =
          Self->Loop.after(AcceptRetryDelay, [Self] { Self->acceptNext(); });
      return;
    }
    std::make_shared<Connection<Core>>(Self, std::move(Socket))->readNext();
    Self->acceptNext();
  });
}

HttpServer::HttpServer(std::shared_ptr<Core> State) : State(std::move(State)) {}
HttpServer::HttpServer(HttpServer &&) noexcept = default;
HttpServer::~HttpServer() {
  if (!State)
    return;
  ErrorCode Ignored; // A failed close needs no further action.
  State->Acceptor.close(Ignored);
  State->AcceptRetry.reset();
}

auto HttpServer::listen(EventLoop &Loop, const std::string &Address,
                        Handler OnRequest) -> Result<HttpServer> {
  const auto Colon = Address.rfind(':');
  ErrorCode Failure;
  const auto Host =
      boost::asio::ip::make_address(Address.substr(0, Colon), Failure);
  const auto Port =
      Colon == std::string::npos
          ? 0UL
          : std::strtoul(Address.c_str() + Colon + 1, nullptr, 10);
  if (Failure || Port == 0 || Port > 65535)
    return Error::make(ErrorKind::InvalidArgument, Address,
                       "is not a valid ip:port address",
                       "give the address as ip:port");
  auto State = std::make_shared<Core>(Loop, std::move(OnRequest));
  Failure = State->open({Host, static_cast<unsigned short>(Port)});
  if (Failure)
    return Error::make(ErrorKind::Unavailable, Address, Failure.message(),
                       "free the port or configure another one");
  State->acceptNext();
  return HttpServer(std::move(State));
}

auto HttpServer::setLimits(HttpLimits Limits) -> void {
  State->Limits = Limits;
}

auto HttpServer::drain() -> void { State->Draining = true; }

auto HttpServer::requestsInProgress() const -> std::size_t {
  return State->InProgress;
}

} // namespace jayramp::net
