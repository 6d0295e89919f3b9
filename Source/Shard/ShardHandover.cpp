#include "Shard/ShardHandover.h"

#include <algorithm>
#include <utility>

namespace jayramp::shard {

namespace {

/// For about half a second nobody schedules during a handover, so it waits
/// until hosts that come and go have settled.
constexpr Milliseconds MinCalmDuration{5000};
constexpr Milliseconds OfferInterval{1000};
/// A smaller gain is not worth the interruption.
constexpr double MinCapacityGain = 2.0;

} // namespace

ShardHandover::ShardHandover(double CpuShare, Actions Callbacks)
    : CpuShare(CpuShare), Callbacks(std::move(Callbacks)) {}

ShardHandover::~ShardHandover() { *Alive = false; }

auto ShardHandover::isWorthwhile(const Peer &Candidate) const -> bool {
  return Candidate.CpuShare >= CpuShare * MinCapacityGain;
}

auto ShardHandover::update(bool IsCalm, TimePoint Now) -> void {
  if (!IsCalm) {
    CalmSince.reset();
    return;
  }
  if (!CalmSince)
    CalmSince = Now;
  if (CpuShare >= SufficientCpuShare || OfferInFlight || Now < NextOffer ||
      Now - *CalmSince < MinCalmDuration)
    return;
  auto Peers = Callbacks.ListPeers();
  std::erase_if(Peers,
                [this](const auto &Each) { return !isWorthwhile(Each); });
  if (Peers.empty())
    return;
  OfferInFlight = true;
  NextOffer = Now + OfferInterval;
  // The list may name hosts that are down; each refusal moves on to the next.
  Callbacks.Offer(Peers[RefusedOffers % Peers.size()],
                  [this, Alive = Alive](bool Accepted) {
                    if (*Alive)
                      onAnswer(Accepted);
                  });
}

auto ShardHandover::onAnswer(bool Accepted) -> void {
  OfferInFlight = false;
  if (!Accepted) {
    ++RefusedOffers;
    return;
  }
  RefusedOffers = 0;
  // The store may have failed since the offer; then nobody could take over.
  if (!CalmSince)
    return;
  // Copied because the release may destroy this object.
  const auto Release = Callbacks.Release;
  Release();
}

} // namespace jayramp::shard
