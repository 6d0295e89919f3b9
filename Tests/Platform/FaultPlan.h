#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jayramp::platform_test {

/// A signal to one host and its end.
struct HostFault {
  enum class Kind { Pause, Kill };

  Kind What = Kind::Pause;
  std::int64_t AtMs = 0; ///< Since the begin of the traffic.
  std::int64_t DurationMs = 0;
  std::optional<std::size_t> Host; ///< If unset, the owner at that time.

  auto operator==(const HostFault &) const -> bool = default;
  auto describe() const -> std::string;
};

/// A zone in which no run may begin for a time. The operator writes the request
/// and its withdrawal as soon as the store is not down.
struct ZoneClosure {
  std::int64_t AtMs = 0; ///< Since the begin of the traffic.
  std::int64_t DurationMs = 0;
  unsigned Zone = 0; ///< Number of the zone, from 0.

  auto operator==(const ZoneClosure &) const -> bool = default;
  auto describe() const -> std::string;
};

/// What goes wrong in a run: outages of the whole store, and signals and closed
/// zones around them, in series and overlapping.
struct FaultPlan {
  static constexpr std::size_t HostCount = 6;
  static constexpr unsigned ZoneCount = 4;
  static constexpr std::int64_t OutageMs = 5100;
  /// Each round has one outage, signals around it, and a calm end in which idle
  /// room is looked for.
  static constexpr std::int64_t RoundMs = 24000;

  std::vector<std::int64_t> OutagesAtMs;
  std::vector<HostFault> HostFaults; ///< In the order of their begin.
  std::vector<ZoneClosure> Closures; ///< One after the other.
  /// If true, the store drops the entries of all workers during its outage.
  bool EntriesLapse = false;
  /// If false, workers that seem to have room may be out of reach.
  bool LooksForIdleRoom = true;

  /// Returns the faults of a run with \p TrafficMs of traffic, the last of
  /// which ends at least 10 s before its end.
  static auto random(std::mt19937_64 &Random, std::int64_t TrafficMs)
      -> FaultPlan;
  auto isStoreDown(std::int64_t AtMs) const -> bool;
};

} // namespace jayramp::platform_test
