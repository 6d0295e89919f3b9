#include "Scheduling/WorkerSpeeds.h"

#include "Scheduling/WorkerEntry.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <utility>

namespace jayramp::scheduling {

namespace {

/// What is assumed of the groups of a level, and how their measurements are
/// forgotten.
struct LevelTraits {
  /// Variance of the logarithm among the groups within one group of the level
  /// above, before it is learned.
  double PriorVariance;
  /// Weights are inverse variances.
  DecayingMean::Memory Memory;
  double MaxRecentWeight; ///< Of the measurements that show a change.
  /// A single run changes the estimate by at most this, or by what is usual at
  /// the level, so that one task with far more work than the others of its step
  /// has little effect.
  double MaxDeviation;
};

// Zones may consist of different hardware generations. Racks and workers of one
// kind differ little unless one of them has a fault, which few runs must show.
constexpr std::array<LevelTraits, SpeedLevelCount> Traits = {{
    {0.25, {120, 800}, 150, 1.0},
    {0.04, {120, 600}, 100, 1.0},
    {0.02, {30, 400}, 80, 1.0},
    {0.05, {15, 100}, 40, 0.6},
}};

/// Speeds are used once two zones differ by this factor, which can decide
/// whether a job meets its latency objective, and until they differ by less
/// than the second one.
const double ZoneThreshold = std::log(1.20);
const double ZoneReleaseThreshold = std::log(1.12);
/// The same for a kind and its zone, and for a rack and its kind. Two groups
/// that differ by ZoneThreshold deviate from their mean by half of it.
const double GroupThreshold = std::log(1.12);
const double GroupReleaseThreshold = std::log(1.07);
/// The same for a worker and its rack.
const double WorkerThreshold = std::log(1.5);
const double WorkerReleaseThreshold = std::log(1.3);
/// Standard deviations by which an estimate may be wrong. Many groups are
/// compared, of which the most extreme ones are looked at.
constexpr double GroupMargin = 3.5;
constexpr double WorkerMargin = 4.0;
/// The same while speeds are used.
constexpr double ReleaseMargin = 1.0;

/// Bounds of the variances that are learned.
constexpr double MinLevelVariance = 0.005;
constexpr double MaxLevelVariance = 0.5;
/// Groups that the prior variance weighs as much as.
constexpr double PriorGroups = 8.0;
/// Usual deviations are up to this many standard deviations.
constexpr double UsualDeviation = 2.5;

/// A group has changed if its recent measurements differ from all of them by
/// this many standard deviations, and by this in the logarithm.
constexpr double ChangeMargin = 3.0;
constexpr double MinChange = 0.15;
/// Weight of what another owner has learned.
constexpr double RestoredWeight = 100.0;
/// Smallest deviations, in hundredths of the logarithm, with which a summary
/// contains a kind or a rack, and a worker.
constexpr std::int32_t MinStoredGroupDeviation = 10;
constexpr std::int32_t MinStoredWorkerDeviation = 25;
constexpr double CentsPerUnit = 100.0;

constexpr double Unbounded = std::numeric_limits<double>::infinity();
constexpr std::size_t MaxKnownGroups = 8192; ///< Of one level.
/// Stands for all groups that come after the limit is reached.
const std::string OtherGroup = "*";

auto kindName(const WorkerReport &Report) -> std::string {
  std::string Name = Report.Zone;
  for (const auto &Label : Report.Labels)
    if (Label != Report.Rack)
      Name += '/' + Label;
  return Name;
}

auto recentMemory(const LevelTraits &Limits) -> DecayingMean::Memory {
  return {Limits.Memory.TimeConstantSeconds, Limits.MaxRecentWeight};
}

auto toCents(double Value) -> std::int32_t {
  return static_cast<std::int32_t>(std::lround(Value * CentsPerUnit));
}

} // namespace

WorkerSpeeds::WorkerSpeeds() {
  for (const auto Which : AllSpeedLevels)
    level(Which).Variance =
        Traits[static_cast<std::size_t>(Which)].PriorVariance;
}

auto WorkerSpeeds::pathOf(const WorkerEntry &Worker) -> const SpeedPath & {
  const auto &Report = Worker.Report;
  auto &Workers = level(SpeedLevel::Worker);
  if (const auto Found = Workers.Indices.find(Report.Id);
      Found != Workers.Indices.end())
    return Workers.Groups[Found->second].Path;
  SpeedPath Path{};
  const auto Kind = kindName(Report);
  groupOf(SpeedLevel::Zone, Report.Zone, Path);
  groupOf(SpeedLevel::Kind, Kind, Path);
  groupOf(SpeedLevel::Rack, Kind + '/' + Report.Rack, Path);
  groupOf(SpeedLevel::Worker, Report.Id, Path);
  auto &Added = Workers.Groups[Path.back()];
  Added.RackNumber = Worker.Rack;
  return Added.Path;
}

auto WorkerSpeeds::groupOf(SpeedLevel Which, std::string Name, SpeedPath &Path)
    -> void {
  auto &Target = level(Which);
  if (Target.Indices.size() >= MaxKnownGroups && !Target.Indices.contains(Name))
    Name = OtherGroup;
  const auto Position = static_cast<std::size_t>(Which);
  const auto [Entry, IsNew] = Target.Indices.try_emplace(
      Name, static_cast<std::uint32_t>(Target.Groups.size()));
  if (IsNew && !Target.FreeIndices.empty()) {
    Entry->second = Target.FreeIndices.back();
    Target.FreeIndices.pop_back();
  } else if (IsNew) {
    Target.Groups.emplace_back();
  }
  Path[Position] = Entry->second;
  if (!IsNew)
    return;
  Group Added;
  Added.Path = Path;
  Added.LogFactor = parentLogFactor(Which, Added);
  Added.Variance = Target.Variance;
  if (const auto Known = takeRestored(Which, Name))
    Added.Measured.add(*Known, RestoredWeight, RestoredAt,
                       Traits[Position].Memory);
  Target.Groups[Entry->second] = Added;
}

auto WorkerSpeeds::record(SpeedLevel Which, const SpeedPath &Path,
                          double LogFactor, double Weight, TimePoint Now)
    -> void {
  const auto Position = static_cast<std::size_t>(Which);
  auto &Target = level(Which).Groups[Path[Position]];
  const auto Expected = Target.LogFactor;
  const auto &Limits = Traits[Position];
  const auto MaxDeviation = std::max(
      Limits.MaxDeviation, UsualDeviation * std::sqrt(level(Which).Variance));
  const auto Bounded =
      std::clamp(LogFactor, Expected - MaxDeviation, Expected + MaxDeviation);
  Target.Measured.add(Bounded, Weight, Now, Limits.Memory);
  Target.Recent.add(Bounded, Weight, Now, recentMemory(Limits));
}

auto WorkerSpeeds::forgetWorker(const std::string &Id) -> void {
  auto &Workers = level(SpeedLevel::Worker);
  takeRestored(SpeedLevel::Worker, Id);
  const auto Found = Workers.Indices.find(Id);
  if (Found == Workers.Indices.end())
    return;
  Workers.Groups[Found->second] = {};
  Workers.FreeIndices.push_back(Found->second);
  Workers.Indices.erase(Found);
}

auto WorkerSpeeds::refresh(const std::map<std::string, WorkerEntry> &Workers,
                           TimePoint Now) -> void {
  if (std::none_of(Workers.begin(), Workers.end(),
                   [](const auto &Each) { return Each.second.Registered; })) {
    // What was restored is not used yet, so it does not age either.
    if (!IsEstimated)
      RestoredAt = Now;
    return;
  }
  IsEstimated = true;
  for (const auto &[Id, Entry] : Workers)
    if (Entry.Registered)
      pathOf(Entry);
  detectChanges(Now);
  estimateGroups(Now);
  centre(Workers);
  const bool AnySlow = updateSlowWorkers();
  Differ = AnySlow || doZonesDiffer() || doGroupsDeviate(SpeedLevel::Kind) ||
           doGroupsDeviate(SpeedLevel::Rack);
}

auto WorkerSpeeds::detectChanges(TimePoint Now) -> void {
  for (const auto Which : AllSpeedLevels) {
    const auto &Limits = Traits[static_cast<std::size_t>(Which)];
    const auto RecentLimits = recentMemory(Limits);
    for (const auto &[Name, Index] : level(Which).Indices) {
      auto &Each = level(Which).Groups[Index];
      const auto Weight = Each.Measured.weight(Now, Limits.Memory);
      const auto RecentWeight = Each.Recent.weight(Now, RecentLimits);
      if (RecentWeight <= 0 || Weight <= RecentWeight)
        continue;
      const auto Change = std::abs(Each.Recent.mean() - Each.Measured.mean());
      if (Change >= MinChange &&
          Change >= ChangeMargin * std::sqrt(1 / Weight + 1 / RecentWeight))
        Each.Measured = Each.Recent;
    }
  }
}

auto WorkerSpeeds::estimateGroups(TimePoint Now) -> void {
  for (const auto Which : AllSpeedLevels) {
    updateVariance(Which, Now);
    const auto &Limits = Traits[static_cast<std::size_t>(Which)];
    for (const auto &[Name, Index] : level(Which).Indices) {
      auto &Each = level(Which).Groups[Index];
      const auto Parent = parentLogFactor(Which, Each);
      const auto Weight = Each.Measured.weight(Now, Limits.Memory);
      Each.Variance = 1 / (1 / level(Which).Variance + Weight);
      Each.LogFactor =
          Parent + Weight * Each.Variance * (Each.Measured.mean() - Parent);
    }
  }
}

auto WorkerSpeeds::updateVariance(SpeedLevel Which, TimePoint Now) -> void {
  const auto &Limits = Traits[static_cast<std::size_t>(Which)];
  auto &Target = level(Which);
  double Sum = PriorGroups * Limits.PriorVariance;
  double Count = PriorGroups;
  for (const auto &[Name, Index] : Target.Indices) {
    const auto &Each = Target.Groups[Index];
    const auto Weight = Each.Measured.weight(Now, Limits.Memory);
    // Groups that are hardly measured tell nothing.
    if (Weight * Limits.PriorVariance < 1)
      continue;
    const auto Deviation = Each.Measured.mean() - parentLogFactor(Which, Each);
    Sum += Deviation * Deviation - 1 / Weight;
    ++Count;
  }
  Target.Variance = std::clamp(Sum / Count, MinLevelVariance, MaxLevelVariance);
}

auto WorkerSpeeds::parentLogFactor(SpeedLevel Which, const Group &Member) const
    -> double {
  if (Which == SpeedLevel::Zone)
    return 0;
  const auto Parent = static_cast<std::size_t>(Which) - 1;
  return Levels[Parent].Groups[Member.Path[Parent]].LogFactor;
}

auto WorkerSpeeds::deviation(SpeedLevel Which, const Group &Member) const
    -> double {
  return Member.LogFactor - parentLogFactor(Which, Member);
}

auto WorkerSpeeds::centre(const std::map<std::string, WorkerEntry> &Workers)
    -> void {
  double Sum = 0;
  std::size_t Count = 0;
  for (const auto &[Id, Entry] : Workers) {
    if (!Entry.Registered)
      continue;
    Sum += estimate(pathOf(Entry)).LogFactor;
    ++Count;
  }
  if (Count == 0)
    return;
  const auto Typical = Sum / static_cast<double>(Count);
  for (auto &Each : Levels)
    for (auto &Member : Each.Groups)
      Member.LogFactor -= Typical;
}

auto WorkerSpeeds::doZonesDiffer() const -> bool {
  const auto Threshold = Differ ? ZoneReleaseThreshold : ZoneThreshold;
  const auto Margin = Differ ? ReleaseMargin : GroupMargin;
  auto Slowest = -Unbounded;
  auto Fastest = Unbounded;
  for (const auto &[Name, Index] : level(SpeedLevel::Zone).Indices) {
    const auto &Each = level(SpeedLevel::Zone).Groups[Index];
    // The least difference that is certain must exceed the threshold, or the
    // margin if that is larger.
    const auto Uncertainty =
        std::max(Margin * std::sqrt(Each.Variance), Threshold / 2);
    Slowest = std::max(Slowest, Each.LogFactor - Uncertainty);
    Fastest = std::min(Fastest, Each.LogFactor + Uncertainty);
  }
  return Slowest >= Fastest;
}

auto WorkerSpeeds::doGroupsDeviate(SpeedLevel Which) const -> bool {
  const auto Threshold = Differ ? GroupReleaseThreshold : GroupThreshold;
  const auto Margin = Differ ? ReleaseMargin : GroupMargin;
  const auto &Groups = level(Which);
  return std::any_of(
      Groups.Indices.begin(), Groups.Indices.end(), [&](const auto &Entry) {
        const auto &Each = Groups.Groups[Entry.second];
        return std::abs(deviation(Which, Each)) >=
               std::max(Threshold, Margin * std::sqrt(Each.Variance));
      });
}

auto WorkerSpeeds::updateSlowWorkers() -> bool {
  bool AnySlow = false;
  auto &Workers = level(SpeedLevel::Worker);
  for (const auto &[Id, Index] : Workers.Indices) {
    auto &Each = Workers.Groups[Index];
    Each.Slow = isSlow(Each);
    AnySlow = AnySlow || Each.Slow;
  }
  return AnySlow;
}

auto WorkerSpeeds::isSlow(const Group &Worker) const -> bool {
  const auto Threshold = Worker.Slow ? WorkerReleaseThreshold : WorkerThreshold;
  const auto Margin = Worker.Slow ? ReleaseMargin : WorkerMargin;
  return deviation(SpeedLevel::Worker, Worker) >=
         std::max(Threshold, Margin * std::sqrt(Worker.Variance));
}

auto WorkerSpeeds::zoneFactors() const -> std::map<std::string, double> {
  const auto &Zones = level(SpeedLevel::Zone);
  const auto &Workers = level(SpeedLevel::Worker);
  std::vector<double> Sums(Zones.Groups.size());
  std::vector<double> Counts(Zones.Groups.size());
  for (const auto &[Id, Index] : Workers.Indices) {
    const auto Zone = Workers.Groups[Index].Path.front();
    Sums[Zone] += Workers.Groups[Index].LogFactor;
    ++Counts[Zone];
  }
  std::map<std::string, double> Factors;
  for (const auto &[Name, Index] : Zones.Indices)
    if (Counts[Index] > 0)
      Factors[Name] = std::exp(Sums[Index] / Counts[Index]);
  return Factors;
}

auto WorkerSpeeds::slowWorkers() const -> std::map<std::string, double> {
  std::map<std::string, double> Factors;
  const auto &Workers = level(SpeedLevel::Worker);
  for (const auto &[Id, Index] : Workers.Indices)
    if (const auto &Each = Workers.Groups[Index]; Each.Slow)
      Factors[Id] = std::exp(Each.LogFactor);
  return Factors;
}

auto WorkerSpeeds::rackOf(const std::string &Worker) const
    -> std::optional<std::size_t> {
  const auto &Workers = level(SpeedLevel::Worker);
  const auto Found = Workers.Indices.find(Worker);
  if (Found == Workers.Indices.end())
    return std::nullopt;
  return Workers.Groups[Found->second].RackNumber;
}

auto WorkerSpeeds::summary() const -> std::optional<SpeedSummary> {
  if (!IsEstimated)
    return std::nullopt;
  SpeedSummary Known;
  if (!Differ)
    return Known;
  for (const auto Which :
       {SpeedLevel::Zone, SpeedLevel::Kind, SpeedLevel::Rack}) {
    const auto Groups = groupsOf(Which);
    Known.Groups.insert(Known.Groups.end(), Groups.begin(), Groups.end());
  }
  Known.SlowWorkers = slowestWorkers();
  return Known;
}

auto WorkerSpeeds::groupsOf(SpeedLevel Which) const
    -> std::vector<SpeedSummary::Group> {
  const auto MinDeviation =
      Which == SpeedLevel::Zone ? 0 : MinStoredGroupDeviation;
  using Candidate = std::pair<std::int32_t, SpeedSummary::Group>;
  std::vector<Candidate> Candidates;
  for (const auto &[Name, Index] : level(Which).Indices) {
    const auto &Each = level(Which).Groups[Index];
    const auto Deviation = std::abs(toCents(deviation(Which, Each)));
    if (Deviation >= MinDeviation)
      Candidates.push_back({Deviation, {Which, Name, toCents(Each.LogFactor)}});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first > Right.first;
            });
  Candidates.resize(std::min(Candidates.size(), SpeedSummary::MaxStoredGroups));
  std::sort(Candidates.begin(), Candidates.end(),
            [](const auto &Left, const auto &Right) {
              return Left.second.Name < Right.second.Name;
            });
  std::vector<SpeedSummary::Group> Groups;
  for (auto &Each : Candidates)
    Groups.push_back(std::move(Each.second));
  return Groups;
}

auto WorkerSpeeds::slowestWorkers() const
    -> std::map<std::uint32_t, std::int32_t> {
  std::vector<std::pair<std::int32_t, std::uint32_t>> Slowest;
  for (const auto &[Id, Index] : level(SpeedLevel::Worker).Indices) {
    const auto &Each = level(SpeedLevel::Worker).Groups[Index];
    if (toCents(deviation(SpeedLevel::Worker, Each)) >=
        MinStoredWorkerDeviation)
      Slowest.emplace_back(toCents(Each.LogFactor),
                           SpeedSummary::workerHash(Id));
  }
  std::sort(Slowest.rbegin(), Slowest.rend());
  Slowest.resize(std::min(Slowest.size(), SpeedSummary::MaxSlowWorkers));
  std::map<std::uint32_t, std::int32_t> Factors;
  for (const auto &[LogCents, Hash] : Slowest)
    Factors.emplace(Hash, LogCents);
  return Factors;
}

auto WorkerSpeeds::restore(const SpeedSummary &Known, TimePoint Now) -> void {
  RestoredAt = Now;
  IsEstimated = false;
  Differ = Differ || !Known.isEmpty();
  for (const auto &Each : Known.Groups)
    Restored[static_cast<std::size_t>(Each.Level)][Each.Name] =
        Each.LogCents / CentsPerUnit;
  for (const auto &[Hash, LogCents] : Known.SlowWorkers)
    RestoredWorkers[Hash] = LogCents / CentsPerUnit;
  for (const auto Which : AllSpeedLevels)
    for (const auto &[Name, Index] : level(Which).Indices)
      if (const auto LogFactor = takeRestored(Which, Name))
        level(Which).Groups[Index].Measured.add(
            *LogFactor, RestoredWeight, Now,
            Traits[static_cast<std::size_t>(Which)].Memory);
}

auto WorkerSpeeds::takeRestored(SpeedLevel Which, const std::string &Name)
    -> std::optional<double> {
  if (Which != SpeedLevel::Worker) {
    const auto Known = Restored[static_cast<std::size_t>(Which)].extract(Name);
    return Known ? std::optional(Known.mapped()) : std::nullopt;
  }
  if (RestoredWorkers.empty())
    return std::nullopt;
  const auto Known = RestoredWorkers.extract(SpeedSummary::workerHash(Name));
  return Known ? std::optional(Known.mapped()) : std::nullopt;
}

auto WorkerSpeeds::logFactor(const WorkerEntry &Worker) const -> double {
  const auto &Workers = level(SpeedLevel::Worker);
  if (const auto Found = Workers.Indices.find(Worker.Report.Id);
      Found != Workers.Indices.end())
    return Workers.Groups[Found->second].LogFactor;
  const auto &Zones = level(SpeedLevel::Zone);
  const auto Found = Zones.Indices.find(Worker.Report.Zone);
  return Found == Zones.Indices.end() ? 0
                                      : Zones.Groups[Found->second].LogFactor;
}

auto WorkerSpeeds::measuredAt(SpeedLevel Which, const SpeedPath &Path,
                              TimePoint Now) const -> LogEstimate {
  const auto Position = static_cast<std::size_t>(Which);
  const auto &Measured = level(Which).Groups[Path[Position]].Measured;
  const auto Weight = Measured.weight(Now, Traits[Position].Memory);
  return {Measured.mean(), Weight > 0 ? 1 / Weight : Unbounded};
}

auto WorkerSpeeds::estimate(const SpeedPath &Path) const -> SpeedEstimate {
  SpeedEstimate Known;
  Known.Path = Path;
  Known.LogFactor = level(SpeedLevel::Worker).Groups[Path.back()].LogFactor;
  for (std::size_t Position = 0; Position < SpeedLevelCount; ++Position)
    Known.Variances[Position] =
        Levels[Position].Groups[Path[Position]].Variance;
  return Known;
}

} // namespace jayramp::scheduling
