#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jayramp {

/// A worker and its location, as given by the host list and the status of the
/// worker.
struct WorkerDescription {
  std::string Name;
  std::string Region;
  std::string AvailabilityZone;
  std::string Rack;
  std::uint32_t Accelerators = 0;

  auto operator<=>(const WorkerDescription &) const = default;
};

} // namespace jayramp
