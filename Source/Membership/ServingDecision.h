#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace jayramp {

/// Why a host may not serve.
enum class ServingRefusalReason {
  NotMember,   ///< This incarnation is not in the view.
  StaleView,   ///< No recent confirmation, and no majority in an outage.
  Rebalancing, ///< An earlier view may still be served elsewhere.
  Leaving,     ///< This host has begun to leave the view.
};

/// Name as in the `Reason` of the API: STALE_VIEW, REBALANCING or STOPPING.
auto toString(ServingRefusalReason Refusal) -> std::string_view;

/// The host may serve under this view.
struct ServingPermitted {
  std::uint64_t ViewVersion = 0;
  /// True if a majority without any recent confirmation permits it.
  bool ByPeerMajority = false;

  auto operator==(const ServingPermitted &) const -> bool = default;
};

/// The host must answer "not run".
struct ServingRefused {
  ServingRefusalReason Reason = ServingRefusalReason::StaleView;
  std::string Detail;

  auto operator==(const ServingRefused &) const -> bool = default;
};

using ServingDecision = std::variant<ServingPermitted, ServingRefused>;

} // namespace jayramp
