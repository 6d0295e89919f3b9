#pragma once

#include <functional>

namespace jayramp::peer::v1 {
class Envelope;
} // namespace jayramp::peer::v1

namespace jayramp {

/// Sends the answer to one request; may be called later and from any thread.
/// Calls after the first have no effect; a request that is never answered times
/// out at its sender. Sender, incarnation and correlation id of the envelope
/// are filled in by the transport, and the announced view version if it is 0.
using PeerReply = std::function<void(const peer::v1::Envelope &)>;

/// Receives the requests of one message type.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;

  /// Called on a thread of the transport's pool, concurrently for several
  /// requests. Must not block on another peer call. For a message sent by
  /// notify(), \p Reply does nothing.
  virtual auto handle(const peer::v1::Envelope &Request, PeerReply Reply)
      -> void = 0;
};

} // namespace jayramp
