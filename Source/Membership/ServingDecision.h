#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace jayramp {

/// Why a host may not serve.
enum class ServingRefusalReason {
  NotMember,   ///< This incarnation is not in the view.
  StaleView,   ///< A newer view may exist.
  Rebalancing, ///< Another host may still serve under an earlier view.
  Leaving,     ///< This host has begun to leave the view.
};

/// Returns the name of the API `Reason`: STALE_VIEW (also for NotMember),
/// REBALANCING or STOPPING (for Leaving).
auto toString(ServingRefusalReason Reason) -> std::string_view;

/// The host may serve under the view ViewVersion.
struct ServingPermitted {
  std::uint64_t ViewVersion = 0;
  /// True if no reachable member has a recent confirmation from the store, and
  /// serving is permitted because a majority of the view is reachable.
  bool ByPeerMajority = false;

  auto operator==(const ServingPermitted &) const -> bool = default;
};

/// The host may not serve; it must answer requests with "not run".
struct ServingRefused {
  ServingRefusalReason Reason = ServingRefusalReason::StaleView;
  std::string Detail;

  auto operator==(const ServingRefused &) const -> bool = default;
};

using ServingDecision = std::variant<ServingPermitted, ServingRefused>;

} // namespace jayramp
