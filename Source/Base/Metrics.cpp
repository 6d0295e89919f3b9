#include "Base/Metrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace jayramp {

namespace {

namespace bh = boost::histogram;

using SecondsAxis = bh::axis::regular<double, bh::axis::transform::log>;
using SecondsHistogram = decltype(bh::make_histogram(SecondsAxis()));

// From 100 microseconds, about a call over the loopback interface, to 100
// seconds, about a long request.
constexpr double LowestSeconds = 1e-4;
constexpr double HighestSeconds = 100.0;
constexpr unsigned BinCount = 36;

auto makeSecondsHistogram() -> SecondsHistogram {
  return bh::make_histogram(
      SecondsAxis(BinCount, LowestSeconds, HighestSeconds));
}

struct DurationSeries {
  SecondsHistogram Histogram = makeSecondsHistogram();
  double Sum = 0;
  std::uint64_t Count = 0;
};

using SeriesKey = std::pair<std::string, std::string>;

auto renderSeries(const SeriesKey &Key, std::string_view Suffix,
                  std::string_view ExtraLabel) -> std::string {
  std::string Labels = Key.second;
  if (!ExtraLabel.empty()) {
    if (!Labels.empty())
      Labels += ',';
    Labels += ExtraLabel;
  }
  std::string Text = Key.first;
  Text += Suffix;
  if (!Labels.empty())
    Text += "{" + Labels + "}";
  return Text;
}

auto renderDurationSeries(const SeriesKey &Key, const DurationSeries &Value)
    -> std::string {
  std::string Text;
  std::uint64_t Cumulative = static_cast<std::uint64_t>(Value.Histogram.at(-1));
  const auto &Axis = Value.Histogram.axis();
  for (int Index = 0; Index < Axis.size(); ++Index) {
    Cumulative += static_cast<std::uint64_t>(Value.Histogram.at(Index));
    std::string Bound = fmt::format("le=\"{:.6g}\"", Axis.bin(Index).upper());
    Text +=
        fmt::format("{} {}\n", renderSeries(Key, "_bucket", Bound), Cumulative);
  }
  Text += fmt::format("{} {}\n", renderSeries(Key, "_bucket", "le=\"+Inf\""),
                      Value.Count);
  Text += fmt::format("{} {:.9g}\n", renderSeries(Key, "_sum", ""), Value.Sum);
  Text += fmt::format("{} {}\n", renderSeries(Key, "_count", ""), Value.Count);
  return Text;
}

} // namespace

class Metrics::Shard {
public:
  mutable std::mutex Mutex;
  std::map<SeriesKey, std::uint64_t> Counters;
  std::map<SeriesKey, double> Gauges;
  std::map<SeriesKey, DurationSeries> DurationSeriesByKey;
};

Metrics::Metrics() : Shards(std::make_unique<Shard[]>(ShardCount)) {}

Metrics::~Metrics() = default;

auto Metrics::shardOf(std::string_view Name, std::string_view Labels) const
    -> Shard & {
  std::size_t Hash = std::hash<std::string_view>{}(Name)*31 +
                     std::hash<std::string_view>{}(Labels);
  return Shards[Hash % ShardCount];
}

auto Metrics::count(std::string_view Name, std::string_view Labels,
                    std::uint64_t Amount) -> void {
  Shard &Target = shardOf(Name, Labels);
  std::lock_guard Lock(Target.Mutex);
  Target.Counters[{std::string(Name), std::string(Labels)}] += Amount;
}

auto Metrics::gauge(std::string_view Name, std::string_view Labels,
                    double Value) -> void {
  Shard &Target = shardOf(Name, Labels);
  std::lock_guard Lock(Target.Mutex);
  Target.Gauges[{std::string(Name), std::string(Labels)}] = Value;
}

auto Metrics::observe(std::string_view Name, std::string_view Labels,
                      std::chrono::nanoseconds Duration) -> void {
  double Seconds = std::chrono::duration<double>(Duration).count();
  Shard &Target = shardOf(Name, Labels);
  std::lock_guard Lock(Target.Mutex);
  DurationSeries &Series =
      Target.DurationSeriesByKey[{std::string(Name), std::string(Labels)}];
  Series.Histogram(Seconds);
  Series.Sum += Seconds;
  ++Series.Count;
}

auto Metrics::counter(std::string_view Name, std::string_view Labels) const
    -> std::uint64_t {
  Shard &Target = shardOf(Name, Labels);
  std::lock_guard Lock(Target.Mutex);
  auto Found = Target.Counters.find({std::string(Name), std::string(Labels)});
  return Found == Target.Counters.end() ? 0 : Found->second;
}

auto Metrics::renderText() const -> std::string {
  // The exposition format requires all series of a name to follow its TYPE
  // line.
  std::map<std::string, std::pair<std::string, std::string>> ByName;
  auto Append = [&ByName](const SeriesKey &Key, std::string_view Type,
                          const std::string &Text) {
    auto &[Kind, Body] = ByName[Key.first];
    Kind = Type;
    Body += Text;
  };
  for (std::size_t Index = 0; Index < ShardCount; ++Index) {
    const Shard &Source = Shards[Index];
    std::lock_guard Lock(Source.Mutex);
    for (const auto &[Key, Value] : Source.Counters)
      Append(Key, "counter",
             fmt::format("{} {}\n", renderSeries(Key, "", ""), Value));
    for (const auto &[Key, Value] : Source.Gauges)
      Append(Key, "gauge",
             fmt::format("{} {:.9g}\n", renderSeries(Key, "", ""), Value));
    for (const auto &[Key, Value] : Source.DurationSeriesByKey)
      Append(Key, "histogram", renderDurationSeries(Key, Value));
  }
  std::string Text;
  for (const auto &[Name, Entry] : ByName)
    Text += fmt::format("# TYPE {} {}\n{}", Name, Entry.first, Entry.second);
  return Text;
}

} // namespace jayramp
