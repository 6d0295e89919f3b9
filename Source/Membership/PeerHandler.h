#pragma once

#include <functional>

namespace jayramp::peer::v1 {
class Envelope;
} // namespace jayramp::peer::v1

namespace jayramp {

/// Sends the answer to one request; may be called from any thread, also after
/// the handler has returned. Only the first call has an effect; a request that
/// is never answered times out at its sender. The transport sets the sender,
/// the incarnation and the correlation id of the envelope, and its view version
/// if that is 0; see PeerTransport::setIdentity().
using PeerReply = std::function<void(const peer::v1::Envelope &)>;

/// Handles the requests of one message type.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;

  /// Handles \p Request. Called on the threads of the transport's pool, several
  /// requests at a time. Must not wait for another peer call. If the message
  /// was sent by PeerTransport::notify(), \p Reply does nothing.
  virtual auto handle(const peer::v1::Envelope &Request, PeerReply Reply)
      -> void = 0;
};

} // namespace jayramp
