#include "Membership/PeerTransport.h"

#include "Base/Metrics.h"
#include "Membership/PeerOutbox.h"
#include "Membership/PeerThreadPool.h"

#include "jayramp/peer/v1/peer.pb.h"

#include <zmq.hpp>
#include <zmq_addon.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>

namespace jayramp {

namespace {

constexpr std::size_t HandlerThreadCount = 4;
// Requests beyond this queue length are dropped; they time out at the sender,
// which repeats them.
constexpr std::size_t MaxQueuedRequests = 8192;
// Messages queued in one socket for a peer that does not read them.
constexpr int MaxQueuedSends = 1000;
// Larger messages are rejected; a shard transfer is sent in smaller parts.
constexpr std::int64_t MaxMessageBytes = 64LL << 20;
// A connection without traffic for the keep-alive timeout is replaced, because
// an open connection may stop delivering for good while new ones work.
constexpr int KeepAliveIntervalMs = 500;
constexpr int KeepAliveTimeoutMs = 1500;
constexpr int InitialReconnectMs = 50;
constexpr int MaxReconnectMs = 500;
// Messages received from one socket before the next socket is served.
constexpr int ReceiveBatchSize = 64;

auto unavailable(std::string_view Peer, std::string Detail) -> Error {
  return Error::make(ErrorKind::Unavailable, std::string(Peer),
                     std::move(Detail), "retry the call later");
}

auto timedOut(std::string_view Peer, std::string Detail) -> Error {
  return Error::make(ErrorKind::Timeout, std::string(Peer), std::move(Detail),
                     "retry the call; the peer may already have handled it");
}

auto setCommonOptions(zmq::socket_t &Socket) -> void {
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::sndhwm, MaxQueuedSends);
  Socket.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
  Socket.set(zmq::sockopt::heartbeat_ivl, KeepAliveIntervalMs);
  Socket.set(zmq::sockopt::heartbeat_timeout, KeepAliveTimeoutMs);
  Socket.set(zmq::sockopt::handshake_ivl, KeepAliveTimeoutMs);
}

using Envelope = peer::v1::Envelope;

} // namespace

class PeerTransport::Implementation {
public:
  Implementation(std::string Name, const std::string &Incarnation,
                 Metrics &Registry)
      : Outbox(std::make_shared<PeerOutbox>(std::move(Name), Incarnation)),
        Registry(Registry), Context(1), Router(Context, ZMQ_ROUTER) {}

  ~Implementation() { stop(); }

  auto bind(const std::string &Address) -> Result<void>;
  auto stop() -> void;
  auto call(std::string_view PeerName, const Envelope &Message,
            Milliseconds Timeout, Callback Done) -> void;

  std::shared_ptr<PeerOutbox> Outbox;
  std::array<std::atomic<PeerHandler *>, 32> Handlers{};
  std::string BoundAddress;

private:
  struct Peer {
    PeerEndpoint Endpoint;
    zmq::socket_t Socket;
  };
  struct PendingCall {
    std::string PeerName;
    TimePoint Deadline;
    Callback Done;
  };

  auto run() -> void;
  auto pollTimeout() const -> Milliseconds;
  auto process(OutgoingCall Call) -> void;
  auto process(OutgoingReply Reply) -> void;
  auto process(PeerReplacement Replacement) -> void;
  auto connect(const PeerEndpoint &Endpoint) -> std::optional<Peer>;
  auto receiveRequests() -> void;
  auto receiveReplies(Peer &Source) -> void;
  auto dispatch(std::string RoutingId, std::shared_ptr<const Envelope> Request)
      -> void;
  auto completeCall(std::uint64_t CorrelationId, const Answer &Result) -> void;
  auto expireCalls() -> void;
  auto runCallback(Callback Done, Answer Result) -> void;
  auto flushTrafficMetrics() -> void;

  struct TrafficCounters {
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;

    auto add(std::size_t Size) -> void {
      ++Messages;
      Bytes += Size;
    }
  };

  Metrics &Registry;
  TrafficCounters Sent;
  TrafficCounters Received;
  zmq::context_t Context;
  zmq::socket_t Router;
  std::map<std::string, Peer, std::less<>> Peers;
  /// By correlation id.
  std::unordered_map<std::uint64_t, PendingCall> PendingCalls;
  /// Deadline and correlation id of each pending call.
  std::multimap<TimePoint, std::uint64_t> Deadlines;
  std::unique_ptr<PeerThreadPool> Pool;
  std::thread Thread;
};

auto PeerTransport::Implementation::bind(const std::string &Address)
    -> Result<void> {
  try {
    setCommonOptions(Router);
    std::string Target = Address;
    if (Target.ends_with(":0"))
      Target.replace(Target.size() - 1, 1, "*");
    Router.bind("tcp://" + Target);
    constexpr std::size_t SchemeLength = 6;
    BoundAddress = Router.get(zmq::sockopt::last_endpoint).substr(SchemeLength);
  } catch (const zmq::error_t &Failure) {
    return Error::make(ErrorKind::Unavailable, Address, Failure.what(),
                       "choose a free address of this machine");
  }
  Pool = std::make_unique<PeerThreadPool>(HandlerThreadCount);
  Thread = std::thread([this] { run(); });
  return success();
}

auto PeerTransport::Implementation::stop() -> void {
  Outbox->close();
  if (Thread.joinable())
    Thread.join();
  Pool.reset();
}

auto PeerTransport::Implementation::call(std::string_view PeerName,
                                         const Envelope &Message,
                                         Milliseconds Timeout, Callback Done)
    -> void {
  OutgoingCall Call{.Peer = std::string(PeerName),
                    .CorrelationId = Outbox->nextCorrelationId(),
                    .Deadline = Clock::now() + Timeout,
                    .Done = std::move(Done)};
  Call.Bytes = Outbox->serialize(Message, Call.CorrelationId, false);
  OutboxEntry Entry(std::move(Call));
  if (Outbox->push(Entry))
    return;
  Registry.count("jayramp_peer_refused_total", "reason=\"QUEUE_FULL\"");
  auto &Refused = std::get<OutgoingCall>(Entry);
  if (Refused.Done)
    Refused.Done(unavailable(PeerName, Outbox->isClosed()
                                           ? "the transport has stopped"
                                           : "the send queue is full"));
}

auto PeerTransport::Implementation::run() -> void {
  std::vector<zmq::pollitem_t> Items;
  while (!Outbox->isClosed()) {
    Items.clear();
    Items.push_back({nullptr, Outbox->descriptor(), ZMQ_POLLIN, 0});
    Items.push_back({Router.handle(), 0, ZMQ_POLLIN, 0});
    for (auto &[Name, Entry] : Peers)
      Items.push_back({Entry.Socket.handle(), 0, ZMQ_POLLIN, 0});
    try {
      zmq::poll(Items, pollTimeout());
    } catch (const zmq::error_t &Failure) {
      if (Failure.num() != EINTR)
        throw;
      continue;
    }
    std::size_t Index = 2;
    for (auto &[Name, Entry] : Peers)
      if (Items[Index++].revents & ZMQ_POLLIN)
        receiveReplies(Entry);
    if (Items[1].revents & ZMQ_POLLIN)
      receiveRequests();
    if (Items[0].revents & ZMQ_POLLIN)
      for (auto &Entry : Outbox->drain())
        std::visit(
            [this](auto &&Item) {
              process(std::forward<decltype(Item)>(Item));
            },
            std::move(Entry));
    expireCalls();
    flushTrafficMetrics();
  }
  for (auto &Entry : Outbox->drain())
    if (auto *Call = std::get_if<OutgoingCall>(&Entry); Call && Call->Done)
      runCallback(std::move(Call->Done),
                  unavailable(Call->Peer, "the transport has stopped"));
  while (!PendingCalls.empty())
    completeCall(PendingCalls.begin()->first,
                 timedOut(PendingCalls.begin()->second.PeerName,
                          "the transport stopped before the answer arrived"));
  Peers.clear();
  Router.close();
}

auto PeerTransport::Implementation::pollTimeout() const -> Milliseconds {
  constexpr Milliseconds MaxPollTimeout{1000};
  if (Deadlines.empty())
    return MaxPollTimeout;
  auto Remaining =
      std::chrono::ceil<Milliseconds>(Deadlines.begin()->first - Clock::now());
  return std::clamp(Remaining, Milliseconds(0), MaxPollTimeout);
}

auto PeerTransport::Implementation::process(OutgoingCall Call) -> void {
  auto Found = Peers.find(Call.Peer);
  if (Found == Peers.end()) {
    if (Call.Done)
      runCallback(std::move(Call.Done),
                  unavailable(Call.Peer, "is not in the current set of peers"));
    return;
  }
  auto Accepted = Found->second.Socket.send(zmq::buffer(Call.Bytes),
                                            zmq::send_flags::dontwait);
  if (!Accepted) {
    Registry.count("jayramp_peer_refused_total", "reason=\"SEND_BLOCKED\"");
    if (Call.Done)
      runCallback(
          std::move(Call.Done),
          unavailable(Call.Peer,
                      "the socket's send queue is full because the peer does "
                      "not read"));
    return;
  }
  Sent.add(Call.Bytes.size());
  if (!Call.Done)
    return;
  Deadlines.emplace(Call.Deadline, Call.CorrelationId);
  PendingCalls.emplace(
      Call.CorrelationId,
      PendingCall{std::move(Call.Peer), Call.Deadline, std::move(Call.Done)});
}

auto PeerTransport::Implementation::process(OutgoingReply Reply) -> void {
  // ZeroMQ drops an answer whose connection has been closed.
  std::array<zmq::const_buffer, 2> Frames{zmq::buffer(Reply.RoutingId),
                                          zmq::buffer(Reply.Bytes)};
  if (zmq::send_multipart(Router, Frames, zmq::send_flags::dontwait))
    Sent.add(Reply.Bytes.size());
  else
    Registry.count("jayramp_peer_refused_total", "reason=\"SEND_BLOCKED\"");
}

auto PeerTransport::Implementation::process(PeerReplacement Replacement)
    -> void {
  std::map<std::string, Peer, std::less<>> NewPeers;
  for (auto &Endpoint : Replacement.Peers) {
    auto Found = Peers.find(Endpoint.Name);
    if (Found != Peers.end() && Found->second.Endpoint == Endpoint) {
      NewPeers.emplace(Endpoint.Name, std::move(Found->second));
      Peers.erase(Found);
    } else if (auto Connected = connect(Endpoint)) {
      NewPeers.emplace(Endpoint.Name, std::move(*Connected));
    }
  }
  std::vector<std::uint64_t> ReplacedPeerCalls;
  for (const auto &[CorrelationId, Call] : PendingCalls)
    if (Peers.contains(Call.PeerName))
      ReplacedPeerCalls.push_back(CorrelationId);
  for (std::uint64_t CorrelationId : ReplacedPeerCalls)
    completeCall(CorrelationId,
                 timedOut(PendingCalls.at(CorrelationId).PeerName,
                          "the peer was removed or replaced during the call"));
  Peers = std::move(NewPeers);
}

auto PeerTransport::Implementation::connect(const PeerEndpoint &Endpoint)
    -> std::optional<Peer> {
  try {
    Peer Connected{Endpoint, zmq::socket_t(Context, ZMQ_DEALER)};
    setCommonOptions(Connected.Socket);
    Connected.Socket.set(zmq::sockopt::reconnect_ivl, InitialReconnectMs);
    Connected.Socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMs);
    Connected.Socket.set(zmq::sockopt::connect_timeout, KeepAliveTimeoutMs);
    Connected.Socket.connect("tcp://" + Endpoint.Address);
    return Connected;
  } catch (const zmq::error_t &) {
    Registry.count("jayramp_peer_refused_total", "reason=\"BAD_ADDRESS\"");
    return std::nullopt;
  }
}

auto PeerTransport::Implementation::receiveRequests() -> void {
  for (int Count = 0; Count < ReceiveBatchSize; ++Count) {
    zmq::multipart_t Frames;
    if (!Frames.recv(Router, ZMQ_DONTWAIT))
      return;
    auto Request = std::make_shared<Envelope>();
    if (Frames.size() != 2 ||
        !Request->ParseFromArray(Frames[1].data(),
                                 static_cast<int>(Frames[1].size()))) {
      Registry.count("jayramp_peer_refused_total", "reason=\"MALFORMED\"");
      continue;
    }
    Received.add(Frames[1].size());
    dispatch(Frames[0].to_string(), std::move(Request));
  }
}

auto PeerTransport::Implementation::receiveReplies(Peer &Source) -> void {
  for (int Count = 0; Count < ReceiveBatchSize; ++Count) {
    zmq::message_t Frame;
    if (!Source.Socket.recv(Frame, zmq::recv_flags::dontwait))
      return;
    auto Reply = std::make_shared<Envelope>();
    if (!Reply->ParseFromArray(Frame.data(), static_cast<int>(Frame.size()))) {
      Registry.count("jayramp_peer_refused_total", "reason=\"MALFORMED\"");
      continue;
    }
    Received.add(Frame.size());
    std::uint64_t CorrelationId = Reply->correlation_id();
    completeCall(CorrelationId, Answer(std::move(Reply)));
  }
}

auto PeerTransport::Implementation::dispatch(
    std::string RoutingId, std::shared_ptr<const Envelope> Request) -> void {
  auto Type = static_cast<std::size_t>(Request->body_case());
  PeerHandler *Handler =
      Type < Handlers.size() ? Handlers[Type].load() : nullptr;
  if (!Handler) {
    Registry.count("jayramp_peer_refused_total", "reason=\"NO_HANDLER\"");
    return;
  }
  // Correlation id 0 marks a notification.
  PeerReply Reply = [](const Envelope &) {};
  if (Request->correlation_id() != 0)
    Reply = [SharedOutbox = Outbox, Id = std::move(RoutingId),
             CorrelationId = Request->correlation_id(),
             Answered = std::make_shared<std::atomic<bool>>(false)](
                const Envelope &Message) {
      if (Answered->exchange(true))
        return;
      OutboxEntry Entry(OutgoingReply{
          Id, SharedOutbox->serialize(Message, CorrelationId, true)});
      SharedOutbox->push(Entry);
    };
  bool Queued = Pool->submit(
      [Handler, Request = std::move(Request), Reply = std::move(Reply)] {
        Handler->handle(*Request, Reply);
      },
      MaxQueuedRequests);
  if (!Queued)
    Registry.count("jayramp_peer_refused_total", "reason=\"HANDLERS_BUSY\"");
}

auto PeerTransport::Implementation::completeCall(std::uint64_t CorrelationId,
                                                 const Answer &Result) -> void {
  auto Found = PendingCalls.find(CorrelationId);
  if (Found == PendingCalls.end())
    return;
  auto [First, Last] = Deadlines.equal_range(Found->second.Deadline);
  for (auto Entry = First; Entry != Last; ++Entry)
    if (Entry->second == CorrelationId) {
      Deadlines.erase(Entry);
      break;
    }
  runCallback(std::move(Found->second.Done), Result);
  PendingCalls.erase(Found);
}

auto PeerTransport::Implementation::expireCalls() -> void {
  TimePoint Now = Clock::now();
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    std::uint64_t CorrelationId = Deadlines.begin()->second;
    Registry.count("jayramp_peer_timeouts_total");
    completeCall(CorrelationId,
                 timedOut(PendingCalls.at(CorrelationId).PeerName,
                          "no answer arrived before the call's deadline"));
  }
}

auto PeerTransport::Implementation::runCallback(Callback Done, Answer Result)
    -> void {
  // No queue limit for callbacks, because each must run. Their number is
  // bounded by the number of pending calls.
  Pool->submit(
      [Done = std::move(Done), Result = std::move(Result)] { Done(Result); },
      static_cast<std::size_t>(-1));
}

// Called once per round of the loop, after the messages have been passed to the
// sockets, so that counting does not delay them.
auto PeerTransport::Implementation::flushTrafficMetrics() -> void {
  auto Flush = [this](TrafficCounters &Total, std::string_view Labels) {
    if (Total.Messages == 0)
      return;
    Registry.count("jayramp_peer_messages_total", Labels, Total.Messages);
    Registry.count("jayramp_peer_bytes_total", Labels, Total.Bytes);
    Total = {};
  };
  Flush(Sent, "direction=\"sent\"");
  Flush(Received, "direction=\"received\"");
}

PeerTransport::PeerTransport(std::unique_ptr<Implementation> Body)
    : Body(std::move(Body)) {}

PeerTransport::~PeerTransport() = default;

auto PeerTransport::make(const std::string &Name,
                         const std::string &Incarnation,
                         const std::string &ListenAddress, Metrics &Registry)
    -> Result<std::unique_ptr<PeerTransport>> {
  auto Body = std::make_unique<Implementation>(Name, Incarnation, Registry);
  if (auto Outcome = Body->bind(ListenAddress); !Outcome)
    return Outcome.error();
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(Body)));
}

auto PeerTransport::address() const -> const std::string & {
  return Body->BoundAddress;
}

auto PeerTransport::setIdentity(const std::string &Incarnation,
                                std::uint64_t ViewVersion) -> void {
  Body->Outbox->setIdentity(Incarnation, ViewVersion);
}

auto PeerTransport::replacePeers(std::vector<PeerEndpoint> Peers) -> void {
  OutboxEntry Entry(PeerReplacement{std::move(Peers)});
  Body->Outbox->push(Entry);
}

auto PeerTransport::setHandler(PeerMessageType Type, PeerHandler &Handler)
    -> void {
  Body->Handlers.at(static_cast<std::size_t>(Type)) = &Handler;
}

auto PeerTransport::call(std::string_view PeerName, const Envelope &Message,
                         Milliseconds Timeout, Callback Done) -> void {
  Body->call(PeerName, Message, Timeout, std::move(Done));
}

auto PeerTransport::notify(std::string_view PeerName, const Envelope &Message)
    -> void {
  OutboxEntry Entry(
      OutgoingCall{.Peer = std::string(PeerName),
                   .Bytes = Body->Outbox->serialize(Message, 0, false)});
  Body->Outbox->push(Entry);
}

auto PeerTransport::stop() -> void { Body->stop(); }

} // namespace jayramp
