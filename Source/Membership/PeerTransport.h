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

/// Messages between entry hosts over ZeroMQ. One thread owns the sockets;
/// handlers and callbacks run on a pool of a few threads. All members are safe
/// to call from any thread.
class PeerTransport {
public:
  /// Unavailable: the message was certainly not sent (unknown peer, full
  /// queue). Timeout: it may have been handled.
  using Answer = Result<std::shared_ptr<const peer::v1::Envelope>>;
  using Callback = std::function<void(const Answer &)>;

  /// Binds \p ListenAddress ("IP:port"; port 0 takes a free one) and starts the
  /// threads. \returns Unavailable if the address cannot be bound.
  static auto make(const std::string &Name, const std::string &Incarnation,
                   const std::string &ListenAddress, Metrics &Registry)
      -> Result<std::unique_ptr<PeerTransport>>;

  /// Stops; outstanding callbacks are called with Unavailable.
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  auto operator=(const PeerTransport &) -> PeerTransport & = delete;

  /// "IP:port" as bound.
  auto address() const -> const std::string &;

  /// Incarnation and view version that outgoing messages carry.
  auto setIdentity(const std::string &Incarnation, std::uint64_t ViewVersion)
      -> void;

  /// Replaces the set of peers. A peer with another incarnation or address gets
  /// a new socket; calls outstanding on the old one end with Timeout.
  auto replacePeers(std::vector<PeerEndpoint> Peers) -> void;

  /// Sets the handler of a type; must be called before messages of that type
  /// arrive. The handler must stay valid until stop() has returned.
  auto setHandler(PeerMessageType Type, PeerHandler &Handler) -> void;

  /// Sends \p Message, whose body is set, and calls \p Done exactly once, at
  /// the latest shortly after \p Timeout.
  auto call(std::string_view PeerName, const peer::v1::Envelope &Message,
            Milliseconds Timeout, Callback Done) -> void;

  /// Sends \p Message without waiting for an answer. May be lost.
  auto notify(std::string_view PeerName, const peer::v1::Envelope &Message)
      -> void;

  /// Ends all threads and closes the sockets; also done by the destructor.
  /// Must not be called from a handler or callback.
  auto stop() -> void;

private:
  class Implementation;

  explicit PeerTransport(std::unique_ptr<Implementation> Body);

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
