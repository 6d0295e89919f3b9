#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace jayramp {

/// Counters, gauges and latency histograms of one process, exposed in the
/// Prometheus text format. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  auto operator=(const Metrics &) -> Metrics & = delete;

  /// Adds \p Amount to the counter \p Name. \p Labels is the inner part of a
  /// Prometheus label set, for example `reason="QUEUE_FULL"`; may be empty.
  auto count(std::string_view Name, std::string_view Labels = {},
             std::uint64_t Amount = 1) -> void;

  /// Sets the gauge \p Name to \p Value.
  auto gauge(std::string_view Name, std::string_view Labels, double Value)
      -> void;

  /// Records \p Duration in the histogram \p Name, which is exposed in seconds.
  auto observe(std::string_view Name, std::string_view Labels,
               std::chrono::nanoseconds Duration) -> void;

  /// Returns the value of a counter, 0 if it was never incremented.
  auto counter(std::string_view Name, std::string_view Labels = {}) const
      -> std::uint64_t;

  /// Returns all series in the Prometheus text exposition format.
  auto renderText() const -> std::string;

private:
  class Shard;
  static constexpr std::size_t ShardCount = 16;

  /// Returns the shard that stores a series. Each shard has its own lock, to
  /// reduce contention.
  auto shardOf(std::string_view Name, std::string_view Labels) const -> Shard &;

  std::unique_ptr<Shard[]> Shards;
};

} // namespace jayramp
