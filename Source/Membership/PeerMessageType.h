#pragma once

namespace jayramp {

/// Types of requests between entry hosts. The values are the field numbers of
/// the request bodies in jayramp.peer.v1.Envelope.
enum class PeerMessageType {
  Heartbeat = 10,
  ClaimKey = 11,
  ReplicateKey = 13,
  ReportOutcome = 14,
  QueryKey = 15,
  TransferShard = 17,
  SlotRequest = 18,
  SlotRelease = 20,
  ConfigurationPushed = 21,
};

} // namespace jayramp
