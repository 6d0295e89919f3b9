#include "Requests/ShardTransfer.h"

#include "Base/Clock.h"
#include "Membership/PeerTransport.h"
#include "Platform/TimerThread.h"
#include "Requests/KeyRecordMapping.h"
#include "Requests/KeyRegistry.h"

#include "jayramp/peer/v1/peer.pb.h"

namespace jayramp {

namespace {

using peer::v1::Envelope;

constexpr Milliseconds TransferTimeout{1000};
// Delay before a message that was not acknowledged is sent again.
constexpr Milliseconds RetryDelay{200};
// A new message is started above this size, so that each stays well below the
// transport's size limit.
constexpr std::size_t MaxPartBytes = 256U << 10U;

} // namespace

ShardTransfer::ShardTransfer(KeyRegistry &Registry, PeerTransport &Transport,
                             TimerThread &Timer)
    : Registry(Registry), Transport(Transport), Timer(Timer) {}

auto ShardTransfer::send(std::uint32_t Shard, const std::string &Target)
    -> void {
  ShardExport Export = Registry.exportShard(Shard, Clock::now());
  auto Parts = std::make_shared<std::vector<Envelope>>(1);
  std::size_t Bytes = 0;
  for (const KeyRecord &Record : Export.Records) {
    if (Bytes > MaxPartBytes) {
      Parts->emplace_back();
      Bytes = 0;
    }
    auto *Written = Parts->back().mutable_transfer_shard()->add_records();
    writeRecord(Record, *Written);
    Bytes += Written->ByteSizeLong();
  }
  for (Envelope &Part : *Parts) {
    Part.set_view_version(Export.ViewVersion);
    Part.mutable_transfer_shard()->set_shard(Shard);
    Part.mutable_transfer_shard()->set_known_through(Export.KnownThroughView);
  }
  Parts->back().mutable_transfer_shard()->set_complete(Export.Complete);
  Parts->back().mutable_transfer_shard()->set_incomplete(Export.Incomplete);
  for (std::uint64_t IdleView : Export.IdleViews)
    Parts->back().mutable_transfer_shard()->add_idle_views(IdleView);
  sendPart(Parts, 0, Target);
}

// Sends the message PartIndex and, once it is acknowledged, the next one. Only
// the last message is marked as complete or incomplete, so it must arrive last.
auto ShardTransfer::sendPart(const TransferParts &Parts, std::size_t PartIndex,
                             const std::string &Target) -> void {
  if (PartIndex >= Parts->size() ||
      (*Parts)[PartIndex].view_version() != Registry.viewVersion())
    return;
  std::weak_ptr<ShardTransfer> Weak = weak_from_this();
  Transport.call(
      Target, (*Parts)[PartIndex], TransferTimeout,
      [Weak, Parts, PartIndex, Target](const PeerTransport::Answer &Answer) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (Answer && Answer.value()->acknowledged().ok())
          return Self->sendPart(Parts, PartIndex + 1, Target);
        Self->Timer.schedule(Clock::now() + RetryDelay,
                             [Weak, Parts, PartIndex, Target] {
                               if (auto Retrying = Weak.lock())
                                 Retrying->sendPart(Parts, PartIndex, Target);
                             });
      });
}

auto ShardTransfer::receive(const Envelope &Request) -> bool {
  const auto &Source = Request.transfer_shard();
  ShardExport Transfer{
      .ViewVersion = Request.view_version(),
      .Shard = Source.shard(),
      .SenderIncarnation = Request.incarnation(),
      .Records = {},
      .Complete = Source.complete(),
      .Incomplete = Source.incomplete(),
      .KnownThroughView = Source.known_through(),
      .IdleViews = {Source.idle_views().begin(), Source.idle_views().end()}};
  for (const auto &Record : Source.records())
    Transfer.Records.push_back(readRecord(Record));
  return Registry.importShard(Transfer, Clock::now());
}

} // namespace jayramp
