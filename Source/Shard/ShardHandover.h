#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jayramp::shard {

/// Decides when the owner of a shard hands it over to a host with more
/// capacity. Answers the load of a shard that a weak host took over while the
/// stronger ones were down: without a handover it stays there until the weak
/// host fails. Asks a host first, and releases the shard only if that host is
/// ready to take it. Performs no I/O itself and reads no clock.
class ShardHandover {
public:
  /// Another entry host that may own the shard.
  struct Peer {
    std::string Address; ///< Internal address, "ip:port".
    double CpuShare = 0; ///< In processor cores; 0 if unknown.

    auto operator==(const Peer &) const -> bool = default;
  };

  struct Actions {
    /// Returns the known peers, those with the largest CPU share first.
    std::function<std::vector<Peer>()> ListPeers;
    /// Asks a peer whether it would take the shard now, and passes on its
    /// answer; false if it does not answer.
    std::function<void(const Peer &, std::function<void(bool)>)> Offer;
    /// Releases the shard, which ends the ownership of this host.
    std::function<void()> Release;
  };

  /// CPU share, in cores, from which a host is strong enough to own any shard.
  static constexpr double SufficientCpuShare = 0.25;

  /// \p CpuShare is the share of this host.
  ShardHandover(double CpuShare, Actions Callbacks);
  ~ShardHandover();
  ShardHandover(const ShardHandover &) = delete;
  auto operator=(const ShardHandover &) -> ShardHandover & = delete;

  /// Offers the shard if that is due. \p IsCalm tells that the owner has
  /// recovered the shard and the store answers as usual.
  auto update(bool IsCalm, TimePoint Now) -> void;

private:
  auto isWorthwhile(const Peer &Candidate) const -> bool;
  auto onAnswer(bool Accepted) -> void;

  double CpuShare;
  Actions Callbacks;
  std::optional<TimePoint> CalmSince;
  TimePoint NextOffer;
  std::size_t RefusedOffers = 0; ///< In a row; selects the next peer to ask.
  bool OfferInFlight = false;
  /// Copied into callbacks; the destructor sets it to false, so that later
  /// callbacks have no effect.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace jayramp::shard
