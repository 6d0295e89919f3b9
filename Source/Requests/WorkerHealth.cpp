#include "Requests/WorkerHealth.h"

#include <algorithm>
#include <cmath>

namespace jayramp {

namespace {

constexpr double LatencyWeight = 0.2; ///< Of the newest answer.
// Most that one answer counts, times the latency so far. A long request that
// was declared short would otherwise eject a healthy worker at once.
constexpr double LargestStep = 5.0;
constexpr double SmallestLatency = 1.0;      ///< Milliseconds.
constexpr double MinimumLatencySamples = 10; ///< Below it no ejection.
constexpr double TrialShare = 0.01;          ///< One slot, until taken.

} // namespace

WorkerHealth::WorkerHealth(HealthPolicy Policy) : Policy(Policy) {}

auto WorkerHealth::make(HealthPolicy Policy) -> Result<WorkerHealth> {
  if (Policy.ConsecutiveFailures == 0)
    return Error::make(ErrorKind::InvalidArgument, "ConsecutiveFailures",
                       "every worker would be out of service",
                       "set at least 1");
  if (!(Policy.FailureRate > 0) || Policy.FailureRate > 1)
    return Error::make(ErrorKind::InvalidArgument, "FailureRate",
                       "the rate is not a share of attempts",
                       "set a value above 0, at most 1");
  if (!(Policy.FirstShare > 0) || Policy.FirstShare > 1)
    return Error::make(ErrorKind::InvalidArgument, "FirstShare",
                       "a worker could not return to service",
                       "set a value above 0, at most 1");
  if (Policy.FirstOpen <= Milliseconds(0) || Policy.MaxOpen < Policy.FirstOpen)
    return Error::make(ErrorKind::InvalidArgument, "FirstOpen",
                       "the open times are not in order",
                       "set 0 < FirstOpen <= MaxOpen");
  return WorkerHealth(Policy);
}

auto WorkerHealth::entryOf(std::string_view Worker) -> Entry & {
  auto Position = Workers.find(Worker);
  if (Position == Workers.end())
    Position = Workers.emplace(std::string(Worker), Entry{}).first;
  return Position->second;
}

auto WorkerHealth::decay(Entry &Target, TimePoint Now) const -> void {
  if (Now <= Target.CountedAt)
    return;
  double Kept =
      std::exp2(-std::chrono::duration<double>(Now - Target.CountedAt).count() /
                std::chrono::duration<double>(Policy.Window).count());
  Target.Successes *= Kept;
  Target.Failures *= Kept;
  Target.CountedAt = Now;
}

auto WorkerHealth::open(Entry &Target, TimePoint Now) const -> void {
  Target.State = CircuitState::Open;
  Target.OpenFor = Target.OpenFor == Milliseconds(0)
                       ? Policy.FirstOpen
                       : std::min(Policy.MaxOpen, Target.OpenFor * 2);
  Target.OpenUntil = Now + Target.OpenFor;
  Target.TrialInFlight = false;
  Target.Share = 0.0;
  Target.Consecutive = 0;
  Target.Successes = 0.0;
  Target.Failures = 0.0;
  Target.LatencySamples = 0.0;
}

auto WorkerHealth::recordStart(std::string_view Worker, TimePoint Now) -> void {
  Entry &Target = entryOf(Worker);
  if (Target.State != CircuitState::Open || Now < Target.OpenUntil)
    return;
  Target.TrialInFlight = true;
  Target.TrialStarted = Now;
}

auto WorkerHealth::recordSuccess(std::string_view Worker,
                                 std::optional<Milliseconds> Latency,
                                 TimePoint Now) -> void {
  Entry &Target = entryOf(Worker);
  decay(Target, Now);
  if (Latency) {
    auto Measured = static_cast<double>(Latency->count());
    if (Target.LatencySamples > 0)
      Measured = std::min(
          Measured, LargestStep * std::max(Target.LatencyMs, SmallestLatency));
    Target.LatencyMs =
        Target.LatencySamples > 0
            ? Target.LatencyMs + LatencyWeight * (Measured - Target.LatencyMs)
            : Measured;
    Target.LatencySamples += 1.0;
  }
  Target.Consecutive = 0;
  Target.Successes += 1.0;
  if (Target.State == CircuitState::Open) {
    // Answers to attempts from before the opening do not count as the trial.
    if (!Target.TrialInFlight)
      return;
    Target.TrialInFlight = false;
    Target.EjectedForLatency = false;
    Target.State = CircuitState::Recovering;
    Target.Share = Policy.FirstShare;
    return;
  }
  if (Target.State != CircuitState::Recovering)
    return;
  Target.Share = std::min(1.0, Target.Share * 2);
  if (Target.Share < 1.0)
    return;
  Target.State = CircuitState::Closed;
  Target.OpenFor = Milliseconds(0);
}

auto WorkerHealth::recordFailure(std::string_view Worker, TimePoint Now)
    -> void {
  Entry &Target = entryOf(Worker);
  if (Target.State == CircuitState::Open && !Target.TrialInFlight)
    return;
  if (Target.State != CircuitState::Closed) {
    open(Target, Now);
    return;
  }
  decay(Target, Now);
  ++Target.Consecutive;
  Target.Failures += 1.0;
  double Total = Target.Successes + Target.Failures;
  bool OverRate = Total >= Policy.MinimumSamples &&
                  Target.Failures >= Policy.FailureRate * Total;
  if (Target.Consecutive >= Policy.ConsecutiveFailures || OverRate)
    open(Target, Now);
}

auto WorkerHealth::recordNoResult(std::string_view Worker) -> void {
  entryOf(Worker).TrialInFlight = false;
}

auto WorkerHealth::ejectOutliers(TimePoint Now) -> std::vector<std::string> {
  std::vector<double> Latencies;
  std::vector<std::pair<double, std::string_view>> Candidates;
  std::size_t Ejected = 0;
  for (const auto &[Name, Entry] : Workers) {
    if (Entry.EjectedForLatency)
      ++Ejected;
    if (Entry.State != CircuitState::Closed ||
        Entry.LatencySamples < MinimumLatencySamples)
      continue;
    Latencies.push_back(Entry.LatencyMs);
    Candidates.emplace_back(Entry.LatencyMs, Name);
  }
  if (Latencies.size() < 3)
    return {};
  auto Middle = Latencies.begin() +
                static_cast<std::ptrdiff_t>((Latencies.size() - 1) / 2);
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  double Limit = std::max(Policy.LatencyFactor * *Middle,
                          static_cast<double>(Policy.LatencyFloor.count()));
  std::sort(Candidates.rbegin(), Candidates.rend());
  // Latency is judged against other workers, so it cannot tell that more than
  // half are slow; ejecting them would overload the rest at a load peak.
  std::size_t Allowed = Workers.size() / 2;
  std::vector<std::string> Result;
  for (const auto &[Latency, Name] : Candidates) {
    if (Latency <= Limit || Ejected >= Allowed)
      break;
    Entry &Target = entryOf(Name);
    open(Target, Now);
    Target.EjectedForLatency = true;
    ++Ejected;
    Result.emplace_back(Name);
  }
  return Result;
}

auto WorkerHealth::removeWorker(std::string_view Worker) -> void {
  auto Position = Workers.find(Worker);
  if (Position != Workers.end())
    Workers.erase(Position);
}

auto WorkerHealth::circuitState(std::string_view Worker, TimePoint Now) const
    -> CircuitState {
  auto Position = Workers.find(Worker);
  if (Position == Workers.end())
    return CircuitState::Closed;
  const Entry &Found = Position->second;
  if (Found.State == CircuitState::Open && Now >= Found.OpenUntil)
    return CircuitState::HalfOpen;
  return Found.State;
}

auto WorkerHealth::trafficShare(std::string_view Worker, TimePoint Now) const
    -> double {
  auto Position = Workers.find(Worker);
  if (Position == Workers.end())
    return 1.0;
  const Entry &Found = Position->second;
  switch (circuitState(Worker, Now)) {
  case CircuitState::Closed:
    return 1.0;
  case CircuitState::Open:
    return 0.0;
  case CircuitState::Recovering:
    return Found.Share;
  case CircuitState::HalfOpen:
    break;
  }
  bool Waiting =
      Found.TrialInFlight && Now - Found.TrialStarted < Policy.TrialTimeout;
  return Waiting ? 0.0 : TrialShare;
}

} // namespace jayramp
