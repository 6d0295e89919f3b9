#pragma once

#include <string>

namespace jayramp {

/// The address on which one incarnation of a peer listens.
struct PeerEndpoint {
  std::string Name;
  std::string Incarnation;
  std::string Address; ///< "IP:port".

  auto operator==(const PeerEndpoint &) const -> bool = default;
};

} // namespace jayramp
