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
// A part that was not acknowledged is repeated after this time.
constexpr Milliseconds RepeatDelay{200};
// Keeps a message well below the transport's limit.
constexpr std::size_t TransferBytes = 256U << 10U;

} // namespace

ShardTransfer::ShardTransfer(KeyRegistry &Registry, PeerTransport &Transport,
                             TimerThread &Timer)
    : Registry(Registry), Transport(Transport), Timer(Timer) {}

auto ShardTransfer::send(std::uint32_t Shard, const std::string &Target)
    -> void {
  ShardExport Export = Registry.exportShard(Shard, Clock::now());
  auto All = std::make_shared<std::vector<Envelope>>(1);
  std::size_t Bytes = 0;
  for (const KeyRecord &Record : Export.Records) {
    if (Bytes > TransferBytes) {
      All->emplace_back();
      Bytes = 0;
    }
    auto *Written = All->back().mutable_transfer_shard()->add_records();
    writeRecord(Record, *Written);
    Bytes += Written->ByteSizeLong();
  }
  for (Envelope &Part : *All) {
    Part.set_view_version(Export.ViewVersion);
    Part.mutable_transfer_shard()->set_shard(Shard);
    Part.mutable_transfer_shard()->set_known_through(Export.KnownThroughView);
  }
  All->back().mutable_transfer_shard()->set_complete(Export.Complete);
  All->back().mutable_transfer_shard()->set_incomplete(Export.Incomplete);
  for (std::uint64_t Idle : Export.IdleViews)
    All->back().mutable_transfer_shard()->add_idle_views(Idle);
  sendPart(All, 0, Target);
}

// Sends one part after the other: only the last carries the mark, and it must
// not arrive before the others.
auto ShardTransfer::sendPart(const Parts &All, std::size_t Next,
                             const std::string &Target) -> void {
  if (Next >= All->size() ||
      (*All)[Next].view_version() != Registry.viewVersion())
    return;
  std::weak_ptr<ShardTransfer> Weak = weak_from_this();
  Transport.call(
      Target, (*All)[Next], TransferTimeout,
      [Weak, All, Next, Target](const PeerTransport::Answer &Answer) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (Answer && Answer.value()->acknowledged().ok())
          return Self->sendPart(All, Next + 1, Target);
        Self->Timer.schedule(Clock::now() + RepeatDelay,
                             [Weak, All, Next, Target] {
                               if (auto Again = Weak.lock())
                                 Again->sendPart(All, Next, Target);
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
