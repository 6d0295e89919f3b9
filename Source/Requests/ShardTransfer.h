#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::peer::v1 {
class Envelope;
} // namespace jayramp::peer::v1

namespace jayramp {

class KeyRegistry;
class PeerTransport;
class TimerThread;

/// Sends shards of request keys to other entry hosts and receives the shards
/// that they send. Owned by a std::shared_ptr, because replies may arrive after
/// the owner was destroyed.
class ShardTransfer : public std::enable_shared_from_this<ShardTransfer> {
public:
  /// The referenced objects must outlive the threads of \p Transport.
  ShardTransfer(KeyRegistry &Registry, PeerTransport &Transport,
                TimerThread &Timer);

  /// Sends a shard to the entry host \p Target, and repeats each message until
  /// it is acknowledged or the view changes. Never blocks.
  auto send(std::uint32_t Shard, const std::string &Target) -> void;

  /// Imports the records of a TransferShard message into the registry. Returns
  /// whether they were accepted.
  auto receive(const peer::v1::Envelope &Request) -> bool;

private:
  using TransferParts = std::shared_ptr<std::vector<peer::v1::Envelope>>;

  auto sendPart(const TransferParts &Parts, std::size_t PartIndex,
                const std::string &Target) -> void;

  KeyRegistry &Registry;
  PeerTransport &Transport;
  TimerThread &Timer;
};

} // namespace jayramp
