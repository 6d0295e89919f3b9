#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Membership/PeerEndpoint.h"
#include "Membership/PeerHandler.h"
#include "Membership/PeerMessageType.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jayramp {

class Metrics;

/// Exchanges messages between entry hosts over ZeroMQ. One thread owns the
/// sockets; handlers and callbacks run on a small thread pool. All members are
/// safe to call from any thread.
class PeerTransport {
public:
  /// The answer of the peer, or one of two errors. Unavailable: the message was
  /// not sent (unknown peer, full queue). Timeout: the peer may have handled
  /// it.
  using Answer = Result<std::shared_ptr<const peer::v1::Envelope>>;
  using Callback = std::function<void(const Answer &)>;

  /// Creates a transport that listens on \p ListenAddress ("IP:port"; port 0
  /// selects a free port) and starts its threads. \returns Unavailable if the
  /// address cannot be bound.
  static auto make(const std::string &Name, const std::string &Incarnation,
                   const std::string &ListenAddress, Metrics &Registry)
      -> Result<std::unique_ptr<PeerTransport>>;

  /// Calls stop().
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  auto operator=(const PeerTransport &) -> PeerTransport & = delete;

  /// Returns the bound address as "IP:port".
  auto address() const -> const std::string &;

  /// Sets the incarnation and the view version that outgoing messages carry.
  auto setIdentity(const std::string &Incarnation, std::uint64_t ViewVersion)
      -> void;

  /// Replaces the set of peers. A peer whose incarnation or address has changed
  /// gets a new socket; pending calls on closed sockets end with Timeout.
  auto replacePeers(std::vector<PeerEndpoint> Peers) -> void;

  /// Sets the handler of a message type. Requests without a handler are
  /// dropped. The handler must stay valid until stop() has returned.
  auto setHandler(PeerMessageType Type, PeerHandler &Handler) -> void;

  /// Sends \p Message, whose body is set, and calls \p Done exactly once, at
  /// the latest shortly after \p Timeout has passed.
  auto call(std::string_view PeerName, const peer::v1::Envelope &Message,
            Milliseconds Timeout, Callback Done) -> void;

  /// Sends \p Message without an answer; the message may be lost.
  auto notify(std::string_view PeerName, const peer::v1::Envelope &Message)
      -> void;

  /// Ends all threads and closes the sockets. Pending calls end with Timeout,
  /// calls that have not been sent with Unavailable. Must not be called from a
  /// handler or callback.
  auto stop() -> void;

private:
  class Implementation;

  explicit PeerTransport(std::unique_ptr<Implementation> Body);

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
