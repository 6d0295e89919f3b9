#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace jayramp {

/// Counters, gauges and latency histograms of one process, shown in the
/// Prometheus text format. All members are safe to call from any thread.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  auto operator=(const Metrics &) -> Metrics & = delete;

  /// Adds \p Amount to counter \p Name. \p Labels is the inner part of a
  /// Prometheus label set, for example `reason="QUEUE_FULL"`; may be empty.
  auto count(std::string_view Name, std::string_view Labels = {},
             std::uint64_t Amount = 1) -> void;

  /// Sets gauge \p Name.
  auto gauge(std::string_view Name, std::string_view Labels, double Value)
      -> void;

  /// Records a duration in histogram \p Name, which is shown in seconds.
  auto observe(std::string_view Name, std::string_view Labels,
               std::chrono::nanoseconds Duration) -> void;

  /// Value of a counter, 0 if it was never raised.
  auto counter(std::string_view Name, std::string_view Labels = {}) const
      -> std::uint64_t;

  /// All series in the Prometheus text exposition format.
  auto renderText() const -> std::string;

private:
  class Shard;
  static constexpr std::size_t ShardCount = 16;

  auto shardOf(std::string_view Name, std::string_view Labels) const -> Shard &;

  std::unique_ptr<Shard[]> Shards;
};

} // namespace jayramp
