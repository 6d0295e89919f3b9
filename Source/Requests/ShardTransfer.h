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

/// Sends key shards to other entry hosts and takes those that they send. Held
/// by a shared pointer, because answers may arrive after its owner is gone.
class ShardTransfer : public std::enable_shared_from_this<ShardTransfer> {
public:
  /// The references must outlive the transport's threads.
  ShardTransfer(KeyRegistry &Registry, PeerTransport &Transport,
                TimerThread &Timer);

  /// Sends a shard to the entry host \p Target and repeats it until it is
  /// acknowledged or the view has changed. Never blocks.
  auto send(std::uint32_t Shard, const std::string &Target) -> void;

  /// Takes a TransferShard message. Returns whether it was accepted.
  auto receive(const peer::v1::Envelope &Request) -> bool;

private:
  using Parts = std::shared_ptr<std::vector<peer::v1::Envelope>>;

  auto sendPart(const Parts &All, std::size_t Next, const std::string &Target)
      -> void;

  KeyRegistry &Registry;
  PeerTransport &Transport;
  TimerThread &Timer;
};

} // namespace jayramp
