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

/// A request to a peer, or a notification if Done is empty.
struct OutgoingCall {
  std::string Peer;
  std::uint64_t CorrelationId = 0;
  std::string Bytes;
  TimePoint Deadline;
  PeerTransport::Callback Done;
};

/// An answer, sent on the connection on which the request came.
struct OutgoingReply {
  std::string RoutingId;
  std::string Bytes;
};

/// A change of the set of peers.
struct PeerReplacement {
  std::vector<PeerEndpoint> Peers;
};

using OutboxEntry = std::variant<OutgoingCall, OutgoingReply, PeerReplacement>;

/// Bounded queue of outgoing messages, filled by any thread and drained by the
/// thread that owns the sockets, which polls descriptor() together with them.
/// Also assigns the correlation ids and holds the identity that outgoing
/// messages carry. Thread-safe.
class PeerOutbox {
public:
  PeerOutbox(std::string Name, std::string Incarnation);
  ~PeerOutbox();
  PeerOutbox(const PeerOutbox &) = delete;
  auto operator=(const PeerOutbox &) -> PeerOutbox & = delete;

  /// Queues \p Entry. Returns false and leaves \p Entry unchanged if the queue
  /// is full or closed. A PeerReplacement is accepted even when the queue is
  /// full.
  auto push(OutboxEntry &Entry) -> bool;
  /// Removes and returns all queued entries.
  auto drain() -> std::vector<OutboxEntry>;
  /// Makes push() refuse further entries, and wakes the polling thread.
  auto close() -> void;
  auto isClosed() const -> bool { return IsClosed; }

  /// Returns an event file descriptor that becomes readable when an entry is
  /// queued and on close(); drain() resets it.
  auto descriptor() const -> int { return Descriptor; }

  /// Sets the incarnation and the view version that later messages carry.
  auto setIdentity(const std::string &Incarnation, std::uint64_t ViewVersion)
      -> void;
  auto nextCorrelationId() -> std::uint64_t { return ++LastCorrelationId; }
  /// Returns the serialized \p Message with sender, incarnation, view version
  /// and the given correlation id set; \p Reply marks it as an answer.
  auto serialize(const peer::v1::Envelope &Message, std::uint64_t CorrelationId,
                 bool Reply) const -> std::string;

private:
  auto signalDescriptor() const -> void;

  int Descriptor;
  std::atomic<bool> IsClosed{false};
  std::atomic<std::uint64_t> LastCorrelationId{0};
  std::mutex EntriesMutex; ///< Guards Entries.
  std::vector<OutboxEntry> Entries;
  mutable std::mutex IdentityMutex; ///< Guards the members below.
  std::string Name;
  std::string Incarnation;
  std::uint64_t ViewVersion = 0;
};

} // namespace jayramp
