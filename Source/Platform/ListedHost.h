#pragma once

#include <string>

namespace jayramp {

/// A backend server as the platform's host list shows it.
struct ListedHost {
  std::string Name;
  std::string Address; ///< "IP:port" of its HTTP endpoint.
  bool Leaving = false;
  std::string AvailabilityZone;
  std::string Rack;

  auto operator==(const ListedHost &) const -> bool = default;
};

} // namespace jayramp
