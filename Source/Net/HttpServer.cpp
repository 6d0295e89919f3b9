#include "Net/HttpServer.h"

#include "Net/EventLoop.h"
#include "Net/HttpConnection.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace jayramp::net {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

/// Delay after a failed accept(), for example when the process has no free file
/// descriptors.
constexpr Milliseconds AcceptRetryDelay{50};
constexpr Milliseconds UnreadCheckInterval{1000};

} // namespace

class HttpServer::Core : public std::enable_shared_from_this<Core> {
public:
  Core(EventLoop &Loop, Handler OnRequest, const Options &Settings)
      : Loop(Loop), Acceptor(Loop.context()),
        State(new HttpServerState{
            Loop, std::move(OnRequest), Settings.Sums,
            std::make_shared<ByteBudget>(Settings.Sums.MaxHeldBytes,
                                         [&Loop](std::function<void()> Action) {
                                           Loop.post(std::move(Action));
                                         }),
            LimitReporter(Settings.Name, Settings.OnLimit),
            Settings.RenderRefusal}) {}

  auto open(const tcp::endpoint &Endpoint) -> ErrorCode {
    ErrorCode Failure;
    Acceptor.open(Endpoint.protocol(), Failure);
    if (!Failure)
      Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
    if (!Failure)
      Acceptor.bind(Endpoint, Failure);
    if (const auto Size = State->Sums.SocketBufferBytes; !Failure && Size > 0) {
      // Accepted sockets inherit the sizes. With those of the system, the
      // kernel holds more for each connection.
      ErrorCode Ignored;
      Acceptor.set_option(tcp::socket::receive_buffer_size(Size), Ignored);
      Acceptor.set_option(tcp::socket::send_buffer_size(Size), Ignored);
    }
    if (!Failure)
      Acceptor.listen(State->Sums.ListenBacklog, Failure);
    return Failure;
  }

  auto acceptNext() -> void {
    Acceptor.async_accept([Self = shared_from_this()](ErrorCode Failure,
                                                      tcp::socket Socket) {
      if (Failure == boost::asio::error::operation_aborted)
        return;
      if (Failure) {
        Self->State->Reporter.report("accept-failed", Failure.message());
        Self->closeLeastUseful();
        Self->AcceptRetry =
            Self->Loop.after(AcceptRetryDelay, [Self] { Self->acceptNext(); });
        return;
      }
      Self->admit(std::move(Socket));
      Self->acceptNext();
    });
  }

  EventLoop &Loop;
  tcp::acceptor Acceptor;
  std::shared_ptr<HttpServerState> State;
  EventLoop::TimerHandle AcceptRetry;
  EventLoop::TimerHandle UnreadCheck;

private:
  using Place = ConnectionTable<HttpConnection>;

  /// Accepting and closing is better than not accepting: the kernel would hold
  /// the connection and what it sends.
  auto admit(tcp::socket Socket) -> void {
    if (State->Table.size() >= State->Sums.MaxConnections) {
      ErrorCode Unknown;
      const auto Peer = Socket.remote_endpoint(Unknown);
      State->Reporter.report("connections",
                             Unknown ? "unknown" : Peer.address().to_string());
      if (!closeLeastUseful()) {
        HttpConnection::sendBusy(Socket);
        return;
      }
    }
    std::make_shared<HttpConnection>(State, std::move(Socket))->readNext();
    watchUnread();
  }

  /// While there are many connections, looks every second for those that do
  /// not read their answers and go on sending.
  auto watchUnread() -> void {
    const auto Size = static_cast<std::size_t>(State->Sums.SocketBufferBytes);
    if (UnreadCheck || State->Table.size() * Size <= State->Sums.MaxHeldBytes)
      return;
    UnreadCheck = Loop.after(UnreadCheckInterval, [Weak = weak_from_this()] {
      const auto Self = Weak.lock();
      if (!Self)
        return;
      Self->UnreadCheck.reset();
      Self->limitUnread();
      Self->watchUnread();
    });
  }

  /// Bytes that wait in the sockets count as memory of the process on the
  /// platform. Closes the connections with the most if there are too many.
  auto limitUnread() -> void {
    std::vector<std::pair<std::size_t, std::shared_ptr<HttpConnection>>> Unread;
    std::size_t Sum = 0;
    for (const auto Which : {Place::State::Busy, Place::State::Reading})
      for (const auto &Each : State->Table.entriesIn(Which)) {
        Unread.emplace_back(Each.Owner->unreadBytes(),
                            Each.Owner->shared_from_this());
        Sum += Unread.back().first;
      }
    std::sort(Unread.begin(), Unread.end(),
              [](const auto &Left, const auto &Right) {
                return Left.first > Right.first;
              });
    for (const auto &[Bytes, Connection] : Unread) {
      if (Sum <= State->Sums.MaxHeldBytes)
        return;
      Sum -= Bytes;
      State->Reporter.report("unread", "several");
      Connection->evict();
    }
  }

  /// Returns false if all connections are busy.
  auto closeLeastUseful() -> bool {
    auto *Found = State->Table.leastUseful(Clock::now());
    if (Found)
      Found->evict();
    return Found != nullptr;
  }
};

HttpServer::HttpServer(std::shared_ptr<Core> State) : State(std::move(State)) {}
HttpServer::HttpServer(HttpServer &&) noexcept = default;
HttpServer::~HttpServer() {
  if (!State)
    return;
  ErrorCode Ignored; // A failed close needs no further action.
  State->Acceptor.close(Ignored);
  State->AcceptRetry.reset();
  State->UnreadCheck.reset();
}

auto HttpServer::defaultOptions() -> Options { return {}; }

auto HttpServer::listen(EventLoop &Loop, const std::string &Address,
                        Handler OnRequest, Options Settings)
    -> Result<HttpServer> {
  const auto Colon = Address.rfind(':');
  ErrorCode Failure;
  auto HostText = Address.substr(0, Colon);
  if (HostText.starts_with('[') && HostText.ends_with(']'))
    HostText = HostText.substr(1, HostText.size() - 2);
  const auto Host = boost::asio::ip::make_address(HostText, Failure);
  const auto Port =
      Colon == std::string::npos
          ? 0UL
          : std::strtoul(Address.c_str() + Colon + 1, nullptr, 10);
  if (Failure || Port == 0 || Port > 65535)
    return Error::make(ErrorKind::InvalidArgument, Address,
                       "is not a valid ip:port address",
                       "give the address as ip:port");
  auto State = std::make_shared<Core>(Loop, std::move(OnRequest), Settings);
  Failure = State->open({Host, static_cast<unsigned short>(Port)});
  if (Failure)
    return Error::make(ErrorKind::Unavailable, Address, Failure.message(),
                       "free the port or configure another one");
  State->acceptNext();
  return HttpServer(std::move(State));
}

auto HttpServer::setLimits(HttpLimits Limits) -> void {
  State->State->Limits = Limits;
}

auto HttpServer::drain() -> void { State->State->Draining = true; }

auto HttpServer::requestsInProgress() const -> std::size_t {
  return State->State->InProgress;
}

auto HttpServer::requestsBeingReceived() const -> std::size_t {
  return State->State->BeingReceived;
}

auto HttpServer::connectionCount() const -> std::size_t {
  return State->State->Table.size();
}

} // namespace jayramp::net
