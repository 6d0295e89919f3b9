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

constexpr std::size_t PoolThreads = 4;
// Requests beyond this are dropped; their senders time out and repeat them.
constexpr std::size_t RequestLimit = 8192;
// Messages that wait in a socket for a peer that does not read.
constexpr int SendQueueLimit = 1000;
// Largest message accepted; a shard transfer is sent in smaller parts.
constexpr std::int64_t LargestMessage = 64LL << 20;
// A connection that is silent for this long is replaced: open connections may
// go silent permanently while new ones work.
constexpr int KeepAliveIntervalMs = 500;
constexpr int KeepAliveTimeoutMs = 1500;
constexpr int ReconnectMs = 50;
constexpr int LongestReconnectMs = 500;
// Messages taken from one socket before the others get their turn.
constexpr int ReceiveBatch = 64;

auto unavailable(std::string_view Peer, std::string Detail) -> Error {
  return Error::make(ErrorKind::Unavailable, std::string(Peer),
                     std::move(Detail), "repeat the call later");
}

auto timedOut(std::string_view Peer, std::string Detail) -> Error {
  return Error::make(ErrorKind::Timeout, std::string(Peer), std::move(Detail),
                     "repeat the call; the peer may have handled it");
}

auto setCommonOptions(zmq::socket_t &Socket) -> void {
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::sndhwm, SendQueueLimit);
  Socket.set(zmq::sockopt::maxmsgsize, LargestMessage);
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
  struct Outstanding {
    std::string PeerName;
    TimePoint Deadline;
    Callback Done;
  };

  auto run() -> void;
  auto waitTime() const -> Milliseconds;
  auto send(OutgoingCall Call) -> void;
  auto send(OutgoingReply Reply) -> void;
  auto send(PeerReplacement Replacement) -> void;
  auto connect(const PeerEndpoint &Endpoint) -> std::optional<Peer>;
  auto receiveRequests() -> void;
  auto receiveReplies(Peer &Source) -> void;
  auto dispatch(std::string RoutingId, std::shared_ptr<const Envelope> Request)
      -> void;
  auto finish(std::uint64_t CorrelationId, const Answer &Result) -> void;
  auto finishExpired() -> void;
  auto runCallback(Callback Done, Answer Result) -> void;
  auto flushCounts() -> void;

  struct Traffic {
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;

    auto add(std::size_t Size) -> void {
      ++Messages;
      Bytes += Size;
    }
  };

  Metrics &Registry;
  Traffic Sent;
  Traffic Received;
  zmq::context_t Context;
  zmq::socket_t Router;
  std::map<std::string, Peer, std::less<>> Peers;
  std::unordered_map<std::uint64_t, Outstanding> Calls;
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
  Pool = std::make_unique<PeerThreadPool>(PoolThreads);
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
    Refused.Done(unavailable(PeerName, Outbox->closed()
                                           ? "the transport has stopped"
                                           : "the send queue is full"));
}

auto PeerTransport::Implementation::run() -> void {
  std::vector<zmq::pollitem_t> Items;
  while (!Outbox->closed()) {
    Items.clear();
    Items.push_back({nullptr, Outbox->descriptor(), ZMQ_POLLIN, 0});
    Items.push_back({Router.handle(), 0, ZMQ_POLLIN, 0});
    for (auto &[Name, Entry] : Peers)
      Items.push_back({Entry.Socket.handle(), 0, ZMQ_POLLIN, 0});
    try {
      zmq::poll(Items, waitTime());
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
            [this](auto &&Item) { send(std::forward<decltype(Item)>(Item)); },
            std::move(Entry));
    finishExpired();
    flushCounts();
  }
  for (auto &Entry : Outbox->drain())
    if (auto *Call = std::get_if<OutgoingCall>(&Entry); Call && Call->Done)
      runCallback(std::move(Call->Done),
                  unavailable(Call->Peer, "the transport has stopped"));
  while (!Calls.empty())
    finish(Calls.begin()->first,
           timedOut(Calls.begin()->second.PeerName,
                    "the transport stopped before the answer"));
  Peers.clear();
  Router.close();
}

auto PeerTransport::Implementation::waitTime() const -> Milliseconds {
  constexpr Milliseconds LongestWait{1000};
  if (Deadlines.empty())
    return LongestWait;
  auto Left =
      std::chrono::ceil<Milliseconds>(Deadlines.begin()->first - Clock::now());
  return std::clamp(Left, Milliseconds(0), LongestWait);
}

auto PeerTransport::Implementation::send(OutgoingCall Call) -> void {
  auto Found = Peers.find(Call.Peer);
  if (Found == Peers.end()) {
    if (Call.Done)
      runCallback(std::move(Call.Done),
                  unavailable(Call.Peer, "is not a known peer"));
    return;
  }
  auto Accepted = Found->second.Socket.send(zmq::buffer(Call.Bytes),
                                            zmq::send_flags::dontwait);
  if (!Accepted) {
    Registry.count("jayramp_peer_refused_total", "reason=\"SEND_BLOCKED\"");
    if (Call.Done)
      runCallback(std::move(Call.Done),
                  unavailable(Call.Peer, "does not take messages"));
    return;
  }
  Sent.add(Call.Bytes.size());
  if (!Call.Done)
    return;
  Deadlines.emplace(Call.Deadline, Call.CorrelationId);
  Calls.emplace(
      Call.CorrelationId,
      Outstanding{std::move(Call.Peer), Call.Deadline, std::move(Call.Done)});
}

auto PeerTransport::Implementation::send(OutgoingReply Reply) -> void {
  // The socket drops an answer whose connection has ended.
  std::array<zmq::const_buffer, 2> Parts{zmq::buffer(Reply.RoutingId),
                                         zmq::buffer(Reply.Bytes)};
  if (zmq::send_multipart(Router, Parts, zmq::send_flags::dontwait))
    Sent.add(Reply.Bytes.size());
  else
    Registry.count("jayramp_peer_refused_total", "reason=\"SEND_BLOCKED\"");
}

auto PeerTransport::Implementation::send(PeerReplacement Replacement) -> void {
  std::map<std::string, Peer, std::less<>> Kept;
  for (auto &Endpoint : Replacement.Peers) {
    auto Found = Peers.find(Endpoint.Name);
    if (Found != Peers.end() && Found->second.Endpoint == Endpoint) {
      Kept.emplace(Endpoint.Name, std::move(Found->second));
      Peers.erase(Found);
    } else if (auto Connected = connect(Endpoint)) {
      Kept.emplace(Endpoint.Name, std::move(*Connected));
    }
  }
  std::vector<std::uint64_t> Ended;
  for (const auto &[CorrelationId, Call] : Calls)
    if (Peers.contains(Call.PeerName))
      Ended.push_back(CorrelationId);
  for (std::uint64_t CorrelationId : Ended)
    finish(CorrelationId, timedOut(Calls.at(CorrelationId).PeerName,
                                   "the peer has been replaced"));
  Peers = std::move(Kept);
}

auto PeerTransport::Implementation::connect(const PeerEndpoint &Endpoint)
    -> std::optional<Peer> {
  try {
    Peer Connected{Endpoint, zmq::socket_t(Context, ZMQ_DEALER)};
    setCommonOptions(Connected.Socket);
    Connected.Socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
    Connected.Socket.set(zmq::sockopt::reconnect_ivl_max, LongestReconnectMs);
    Connected.Socket.set(zmq::sockopt::connect_timeout, KeepAliveTimeoutMs);
    Connected.Socket.connect("tcp://" + Endpoint.Address);
    return Connected;
  } catch (const zmq::error_t &) {
    Registry.count("jayramp_peer_refused_total", "reason=\"BAD_ADDRESS\"");
    return std::nullopt;
  }
}

auto PeerTransport::Implementation::receiveRequests() -> void {
  for (int Count = 0; Count < ReceiveBatch; ++Count) {
    zmq::multipart_t Parts;
    if (!Parts.recv(Router, ZMQ_DONTWAIT))
      return;
    auto Request = std::make_shared<Envelope>();
    if (Parts.size() != 2 ||
        !Request->ParseFromArray(Parts[1].data(),
                                 static_cast<int>(Parts[1].size()))) {
      Registry.count("jayramp_peer_refused_total", "reason=\"MALFORMED\"");
      continue;
    }
    Received.add(Parts[1].size());
    dispatch(Parts[0].to_string(), std::move(Request));
  }
}

auto PeerTransport::Implementation::receiveReplies(Peer &Source) -> void {
  for (int Count = 0; Count < ReceiveBatch; ++Count) {
    zmq::message_t Part;
    if (!Source.Socket.recv(Part, zmq::recv_flags::dontwait))
      return;
    auto Reply = std::make_shared<Envelope>();
    if (!Reply->ParseFromArray(Part.data(), static_cast<int>(Part.size()))) {
      Registry.count("jayramp_peer_refused_total", "reason=\"MALFORMED\"");
      continue;
    }
    Received.add(Part.size());
    std::uint64_t CorrelationId = Reply->correlation_id();
    finish(CorrelationId, Answer(std::move(Reply)));
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
    Reply = [Box = Outbox, Id = std::move(RoutingId),
             CorrelationId = Request->correlation_id(),
             Answered = std::make_shared<std::atomic<bool>>(false)](
                const Envelope &Message) {
      if (Answered->exchange(true))
        return;
      OutboxEntry Entry(
          OutgoingReply{Id, Box->serialize(Message, CorrelationId, true)});
      Box->push(Entry);
    };
  bool Queued = Pool->submit(
      [Handler, Request = std::move(Request), Reply = std::move(Reply)] {
        Handler->handle(*Request, Reply);
      },
      RequestLimit);
  if (!Queued)
    Registry.count("jayramp_peer_refused_total", "reason=\"HANDLERS_BUSY\"");
}

auto PeerTransport::Implementation::finish(std::uint64_t CorrelationId,
                                           const Answer &Result) -> void {
  auto Found = Calls.find(CorrelationId);
  if (Found == Calls.end())
    return;
  auto [First, Last] = Deadlines.equal_range(Found->second.Deadline);
  for (auto Entry = First; Entry != Last; ++Entry)
    if (Entry->second == CorrelationId) {
      Deadlines.erase(Entry);
      break;
    }
  runCallback(std::move(Found->second.Done), Result);
  Calls.erase(Found);
}

auto PeerTransport::Implementation::finishExpired() -> void {
  TimePoint Now = Clock::now();
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    std::uint64_t CorrelationId = Deadlines.begin()->second;
    Registry.count("jayramp_peer_timeouts_total");
    finish(CorrelationId, timedOut(Calls.at(CorrelationId).PeerName,
                                   "no answer within the time allowed"));
  }
}

auto PeerTransport::Implementation::runCallback(Callback Done, Answer Result)
    -> void {
  // Callbacks are never dropped: their number is bounded by the calls made.
  Pool->submit(
      [Done = std::move(Done), Result = std::move(Result)] { Done(Result); },
      static_cast<std::size_t>(-1));
}

// Counted once for each round of the loop, after its messages are on their way.
auto PeerTransport::Implementation::flushCounts() -> void {
  auto Flush = [this](Traffic &Total, std::string_view Labels) {
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
