#pragma once

#include "Base/Clock.h"
#include "Membership/PeerEndpoint.h"
#include "Membership/PeerTransport.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace jayramp {

/// A request to a peer; Done is empty for a notification.
struct OutgoingCall {
  std::string Peer;
  std::uint64_t CorrelationId = 0;
  std::string Bytes;
  TimePoint Deadline;
  PeerTransport::Callback Done;
};

/// An answer to the connection from which a request came.
struct OutgoingReply {
  std::string RoutingId;
  std::string Bytes;
};

/// A new set of peers.
struct PeerReplacement {
  std::vector<PeerEndpoint> Peers;
};

using OutboxEntry = std::variant<OutgoingCall, OutgoingReply, PeerReplacement>;

/// Bounded queue from any thread to the thread that owns the sockets, which
/// waits on descriptor() together with them. Also numbers the requests and
/// holds the identity that outgoing messages carry. Thread-safe.
class PeerOutbox {
public:
  PeerOutbox(std::string Name, std::string Incarnation);
  ~PeerOutbox();
  PeerOutbox(const PeerOutbox &) = delete;
  auto operator=(const PeerOutbox &) -> PeerOutbox & = delete;

  /// Queues \p Entry; false, with \p Entry unchanged, if the queue is full or
  /// closed. A PeerReplacement is accepted even when the queue is full.
  auto push(OutboxEntry &Entry) -> bool;
  /// Takes everything that is queued.
  auto drain() -> std::vector<OutboxEntry>;
  /// Refuses further entries and wakes the waiting thread.
  auto close() -> void;
  auto closed() const -> bool { return Closed; }

  /// Readable while entries wait.
  auto descriptor() const -> int { return Descriptor; }

  auto setIdentity(const std::string &Incarnation, std::uint64_t ViewVersion)
      -> void;
  auto nextCorrelationId() -> std::uint64_t { return ++LastCorrelationId; }
  /// Bytes of \p Message with sender, incarnation, view version and the given
  /// correlation id.
  auto serialize(const peer::v1::Envelope &Message, std::uint64_t CorrelationId,
                 bool Reply) const -> std::string;

private:
  auto wake() const -> void;

  int Descriptor;
  std::atomic<bool> Closed{false};
  std::atomic<std::uint64_t> LastCorrelationId{0};
  std::mutex EntriesMutex; ///< Guards Entries.
  std::vector<OutboxEntry> Entries;
  mutable std::mutex IdentityMutex; ///< Guards the identity below.
  std::string Name;
  std::string Incarnation;
  std::uint64_t ViewVersion = 0;
};

} // namespace jayramp
