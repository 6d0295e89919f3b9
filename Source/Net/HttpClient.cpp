#include "Net/HttpClient.h"

#include "Net/ByteBudget.h"
#include "Net/EventLoop.h"
#include "Net/MessageReader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace jayramp::net {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

/// Maximum number of idle connections in the pool for each address.
constexpr std::size_t MaxIdleConnectionsPerAddress = 4;
/// Chunk lines and trailers of a response.
constexpr std::uint64_t MaxResponseFramingBytes = 4U << 20U;
constexpr std::size_t FirstReadBytes = 2048;
constexpr std::size_t ReadBytes = 16384;
/// The time limit of a call is extended by the lag of the event loop, but in
/// total at most by this multiple of the limit.
constexpr int MaxLagExtensionFactor = 3;

auto parseAddress(const std::string &Address) -> std::optional<tcp::endpoint> {
  const auto Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  ErrorCode Failure;
  const auto Host =
      boost::asio::ip::make_address(Address.substr(0, Colon), Failure);
  const auto Port = std::strtoul(Address.c_str() + Colon + 1, nullptr, 10);
  if (Failure || Port == 0 || Port > 65535)
    return std::nullopt;
  return tcp::endpoint(Host, static_cast<unsigned short>(Port));
}

} // namespace

class HttpClient::Core : public std::enable_shared_from_this<Core> {
public:
  Core(EventLoop &Loop, const HttpClient::Limits &Given)
      : Loop(Loop), Sums(Given), Budget(std::make_shared<ByteBudget>(
                                     Given.MaxHeldBytes, ByteBudget::Post())) {
    ResponseLimits.MaxBodyBytes = Given.MaxBodyBytes;
    ResponseLimits.MaxFramingBytes = MaxResponseFramingBytes;
  }

  /// An idle connection and the process that it leads to; 0 if it is unknown.
  struct IdleConnection {
    tcp::socket Socket;
    std::int64_t Peer = 0;
  };

  /// Removes an idle connection to \p Address that suits \p Wanted from the
  /// pool and returns it; none if the pool has none.
  auto takeIdle(const std::string &Address, const PeerBinding &Wanted)
      -> std::optional<IdleConnection> {
    const auto Found = IdleByAddress.find(Address);
    if (Found == IdleByAddress.end())
      return std::nullopt;
    auto &Idle = Found->second;
    const bool AnyPeer = Wanted.Required == 0 && !Wanted.Identify;
    const auto Last =
        std::find_if(Idle.rbegin(), Idle.rend(), [&](const auto &Each) {
          return AnyPeer || Each.Peer == Wanted.Required;
        });
    if (Last == Idle.rend())
      return std::nullopt;
    auto Taken = std::move(*Last);
    Idle.erase(std::next(Last).base());
    --IdleCount;
    return Taken;
  }

  /// Returns a connection to the pool. If the pool is full, closes it, or
  /// another one if it is the only one to a process that has identified itself:
  /// that process receives its requests on no other.
  auto returnIdle(const std::string &Address, IdleConnection Connection)
      -> void {
    auto &Idle = IdleByAddress[Address];
    const bool AddressIsFull = Idle.size() >= MaxIdleConnectionsPerAddress;
    if (AddressIsFull || IdleCount >= Sums.MaxConnections / 2) {
      const bool IsNeeded =
          Connection.Peer != 0 && !isConnectedTo(Address, Connection.Peer);
      if (!IsNeeded || !(AddressIsFull ? closeOldest(Idle) : closeAnyIdle()))
        return;
    }
    Idle.push_back(std::move(Connection));
    ++IdleCount;
  }

  /// Closes the first connection in \p Idle; returns whether there is one.
  auto closeOldest(std::vector<IdleConnection> &Idle) -> bool {
    if (Idle.empty())
      return false;
    Idle.erase(Idle.begin());
    --IdleCount;
    return true;
  }

  /// Closes an idle connection to any address; returns whether there is one.
  auto closeAnyIdle() -> bool {
    return std::any_of(IdleByAddress.begin(), IdleByAddress.end(),
                       [this](auto &Each) { return closeOldest(Each.second); });
  }

  auto closeIdle(const std::string &Address) -> void {
    const auto Found = IdleByAddress.find(Address);
    if (Found == IdleByAddress.end())
      return;
    IdleCount -= Found->second.size();
    IdleByAddress.erase(Found);
  }

  auto isConnectedTo(const std::string &Address, std::int64_t Peer) const
      -> bool {
    const auto Found = IdleByAddress.find(Address);
    return Found != IdleByAddress.end() &&
           std::any_of(Found->second.begin(), Found->second.end(),
                       [=](const auto &Each) { return Each.Peer == Peer; });
  }

  EventLoop &Loop;
  HttpClient::Limits Sums;
  HttpLimits ResponseLimits;
  std::shared_ptr<ByteBudget> Budget;
  std::size_t IdleCount = 0;
  std::unordered_map<std::string, std::size_t> CallsByAddress;
  std::unordered_map<std::string, std::vector<IdleConnection>> IdleByAddress;
};

namespace {

auto serialize(const std::string &Address, HttpRequest Request)
    -> http::request<http::string_body> {
  http::request<http::string_body> Message;
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  Message.version(11);
  bool HostGiven = false;
  for (const auto &[Name, Value] : Request.Headers) {
    Message.insert(Name, Value);
    HostGiven = HostGiven || Name == "Host";
  }
  if (!HostGiven)
    Message.set(http::field::host, Address);
  Message.body() = std::move(Request.Body);
  Message.prepare_payload();
  return Message;
}

} // namespace

namespace {

/// One request on one connection, from connecting until the last byte of the
/// response.
template <typename Pool>
class Exchange : public std::enable_shared_from_this<Exchange<Pool>> {
public:
  Exchange(std::shared_ptr<Pool> Owner, std::string Address,
           HttpRequest Request, HttpClient::Callback Done, PeerBinding Peer)
      : Owner(std::move(Owner)), Address(std::move(Address)),
        Message(serialize(this->Address, std::move(Request))),
        Done(std::move(Done)), Peer(std::move(Peer)),
        Socket(this->Owner->Loop.context()),
        Deadline(this->Owner->Loop.context()), Held(this->Owner->Budget) {
    ++this->Owner->CallsByAddress[this->Address];
  }
  ~Exchange() {
    const auto Calls = Owner->CallsByAddress.find(Address);
    if (--Calls->second == 0)
      Owner->CallsByAddress.erase(Calls);
  }
  Exchange(const Exchange &) = delete;
  auto operator=(const Exchange &) -> Exchange & = delete;

  auto start(Milliseconds Timeout) -> void {
    ExtensionLeft = Timeout * MaxLagExtensionFactor;
    LagCounted = Owner->Loop.totalLag();
    waitUntil(Clock::now() + Timeout);
    if (auto Pooled = Owner->takeIdle(Address, Peer)) {
      Socket = std::move(Pooled->Socket);
      PeerNumber = Pooled->Peer;
      send();
      return;
    }
    if (Peer.Required != 0) {
      failLater("no connection to this process");
      return;
    }
    if (Owner->CallsByAddress[Address] > Owner->Sums.MaxConnections / 2) {
      failLater("too many calls");
      return;
    }
    const auto Endpoint = parseAddress(Address);
    if (!Endpoint) {
      // The text becomes the value of a metric label.
      failLater("not an address");
      return;
    }
    Socket.async_connect(
        *Endpoint, [Self = this->shared_from_this()](ErrorCode Failure) {
          if (Failure) {
            Self->fail(ErrorKind::Unavailable, Failure.message());
            return;
          }
          ErrorCode Ignored; // Without TCP_NODELAY only the latency is higher.
          Self->Socket.set_option(tcp::no_delay(true), Ignored);
          Self->send();
        });
  }

private:
  /// Fails a call of which nothing was sent, but not at once: callers do not
  /// expect an answer before their call returns.
  auto failLater(const char *Detail) -> void {
    Owner->Loop.post([Self = this->shared_from_this(), Detail] {
      Self->fail(ErrorKind::Unavailable, Detail);
    });
  }

  auto waitUntil(TimePoint Due) -> void {
    Deadline.expires_at(Due);
    Deadline.async_wait(
        [Self = this->shared_from_this(), Due](ErrorCode Failure) {
          if (Failure)
            return;
          Self->Owner->Loop.recordTimer(Due);
          if (!Self->extendByLag())
            Self->expire();
        });
  }

  /// Waits longer if the event loop has lagged since the last extension: the
  /// response may have arrived, or the request may have been sent late. Returns
  /// whether it does.
  auto extendByLag() -> bool {
    const auto Lag = Owner->Loop.totalLag() - LagCounted;
    const auto Extension = std::min(Lag, ExtensionLeft);
    if (!Done || Extension <= Clock::duration(0))
      return false;
    LagCounted += Lag;
    ExtensionLeft -= Extension;
    waitUntil(Clock::now() + Extension);
    return true;
  }

  auto send() -> void {
    Sent = true;
    http::async_write(
        Socket, Message,
        [Self = this->shared_from_this()](ErrorCode Failure, std::size_t) {
          if (Failure)
            Self->fail(ErrorKind::Timeout, Failure.message());
          else
            Self->receive();
        });
  }

  auto receive() -> void {
    Reader.begin(Owner->ResponseLimits);
    read();
  }

  auto read() -> void {
    if (!Done)
      return;
    const bool IsFirst =
        Reader.messageBytes() == 0 && !Reader.hasUnparsedBytes();
    const auto Size = IsFirst ? FirstReadBytes : ReadBytes;
    // Small answers are read in any case.
    if (IsFirst)
      Held.set(Reader.heldBytesWith(Size));
    else if (!Held.trySet(Reader.heldBytesWith(Size))) {
      abandon("responses too large");
      return;
    }
    Socket.async_read_some(Reader.prepare(Size),
                           [Self = this->shared_from_this()](
                               ErrorCode Failure, std::size_t Count) {
                             Self->onRead(Failure, Count);
                           });
  }

  auto onRead(ErrorCode Failure, std::size_t Size) -> void {
    using Progress = MessageReader<false>::Progress;
    if (!Done)
      return;
    if (Failure && Failure != boost::asio::error::eof) {
      fail(ErrorKind::Timeout, Failure.message());
      return;
    }
    Reader.commit(Size);
    const auto Reached = Failure ? Reader.finish() : Reader.parse();
    Held.set(Reader.heldBytes());
    if (Reached == Progress::Complete)
      succeed();
    else if (Reached == Progress::NeedsMore)
      read();
    else
      abandon(Reader.fault() == MessageFault::Incomplete ? "end of stream"
              : Reader.fault() == MessageFault::Malformed
                  ? "malformed response"
                  : "response too large");
  }

  auto succeed() -> void {
    if (!Done)
      return;
    Deadline.cancel();
    HttpResponse Response;
    const bool IsReusable = !Reader.hasUnparsedBytes();
    auto Received = Reader.take();
    Response.Status = Received.result_int();
    for (const auto &Field : Received)
      Response.Headers.emplace_back(Field.name_string().to_string(),
                                    Field.value().to_string());
    Response.Body = std::move(Received.body());
    if (const auto Shown = Peer.Identify ? Peer.Identify(Response) : 0)
      PeerNumber = Shown;
    if (Received.keep_alive() && IsReusable)
      Owner->returnIdle(Address, {std::move(Socket), PeerNumber});
    finish(std::move(Response));
  }

  /// Ends the call and closes the connection, whose answer is not wanted.
  auto abandon(const char *Detail) -> void {
    fail(ErrorKind::Timeout, Detail);
    ErrorCode Ignored; // The connection is abandoned in any case.
    Socket.close(Ignored);
  }

  auto expire() -> void {
    // The text becomes the value of a metric label.
    fail(Sent ? ErrorKind::Timeout : ErrorKind::Unavailable,
         "no answer in time");
    ErrorCode Ignored; // The connection is abandoned in any case.
    Socket.close(Ignored);
  }

  auto fail(ErrorKind Kind, std::string Detail) -> void {
    if (!Done)
      return;
    Deadline.cancel();
    finish(Error::make(Kind, Address, std::move(Detail), "try again"));
  }

  auto finish(Result<HttpResponse> Outcome) -> void {
    auto Callback = std::move(Done);
    Done = nullptr;
    Callback(std::move(Outcome));
  }

  std::shared_ptr<Pool> Owner;
  std::string Address;
  http::request<http::string_body> Message;
  HttpClient::Callback Done;
  PeerBinding Peer;
  std::int64_t PeerNumber = 0; ///< Of the connection; 0 if it is unknown.
  tcp::socket Socket;
  boost::asio::steady_timer Deadline;
  MessageReader<false> Reader;
  ByteBudget::Share Held;
  bool Sent = false;
  Clock::duration LagCounted{0}; ///< Part of the loop's lag that was allowed.
  Clock::duration ExtensionLeft{0};
};

} // namespace

HttpClient::HttpClient(EventLoop &Loop) : HttpClient(Loop, Limits()) {}

HttpClient::HttpClient(EventLoop &Loop, const Limits &Given)
    : State(std::make_shared<Core>(Loop, Given)) {}

HttpClient::~HttpClient() = default;

auto HttpClient::call(const std::string &Address, HttpRequest Request,
                      Milliseconds Timeout, Callback Done, PeerBinding Peer)
    -> void {
  std::make_shared<Exchange<Core>>(State, Address, std::move(Request),
                                   std::move(Done), std::move(Peer))
      ->start(Timeout);
}

auto HttpClient::isConnectedTo(const std::string &Address,
                               std::int64_t Peer) const -> bool {
  return State->isConnectedTo(Address, Peer);
}

auto HttpClient::closeIdleConnections(const std::string &Address) -> void {
  State->closeIdle(Address);
}

} // namespace jayramp::net
