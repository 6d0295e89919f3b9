#pragma once

#include <string>

namespace jayramp {

/// Entry of a backend server in the platform's host list.
struct ListedHost {
  std::string Name;
  std::string Address;  ///< "IP:port" of its HTTP endpoint.
  bool Leaving = false; ///< It is about to be removed; give it no new work.
  std::string AvailabilityZone;
  std::string Rack;

  auto operator==(const ListedHost &) const -> bool = default;
};

} // namespace jayramp
