#include "Requests/WorkerHealth.h"

#include <algorithm>
#include <cmath>

namespace jayramp {

namespace {

constexpr double LatencyWeight = 0.2; ///< Weight of the newest answer.
// Limits one sample to this many times the average latency. A long request that
// was declared short would otherwise eject a healthy worker at once.
constexpr double MaximumLatencyRatio = 5.0;
constexpr double MinimumLatencyMs = 1.0;
constexpr double MinimumLatencySamples = 10; ///< With fewer, no ejection.
constexpr double TrialShare = 0.01;          ///< Rounded up to one slot.

} // namespace

WorkerHealth::WorkerHealth(HealthPolicy Policy) : Policy(Policy) {}

auto WorkerHealth::make(HealthPolicy Policy) -> Result<WorkerHealth> {
  if (Policy.ConsecutiveFailures == 0)
    return Error::make(
        ErrorKind::InvalidArgument, "ConsecutiveFailures",
        "with a limit of 0 failures every worker would be out of service",
        "set at least 1");
  if (!(Policy.FailureRate > 0) || Policy.FailureRate > 1)
    return Error::make(ErrorKind::InvalidArgument, "FailureRate",
                       "the failure rate is not a share of the attempts",
                       "set a value above 0, at most 1");
  if (!(Policy.FirstShare > 0) || Policy.FirstShare > 1)
    return Error::make(
        ErrorKind::InvalidArgument, "FirstShare",
        "with this traffic share a worker could not return to service",
        "set a value above 0, at most 1");
  if (Policy.FirstOpen <= Milliseconds(0) || Policy.MaxOpen < Policy.FirstOpen)
    return Error::make(
        ErrorKind::InvalidArgument, "FirstOpen",
        "an open time is not above 0, or FirstOpen exceeds MaxOpen",
        "set 0 < FirstOpen <= MaxOpen");
  return WorkerHealth(Policy);
}

auto WorkerHealth::findOrAddWorker(std::string_view Worker) -> WorkerState & {
  auto Position = Workers.find(Worker);
  if (Position == Workers.end())
    Position = Workers.emplace(std::string(Worker), WorkerState{}).first;
  return Position->second;
}

auto WorkerHealth::decayCounts(WorkerState &Target, TimePoint Now) const
    -> void {
  if (Now <= Target.DecayedAt)
    return;
  double Decay =
      std::exp2(-std::chrono::duration<double>(Now - Target.DecayedAt).count() /
                std::chrono::duration<double>(Policy.Window).count());
  Target.Successes *= Decay;
  Target.Failures *= Decay;
  Target.DecayedAt = Now;
}

auto WorkerHealth::openCircuit(WorkerState &Target, TimePoint Now) const
    -> void {
  Target.State = CircuitState::Open;
  Target.OpenDuration = Target.OpenDuration == Milliseconds(0)
                            ? Policy.FirstOpen
                            : std::min(Policy.MaxOpen, Target.OpenDuration * 2);
  Target.OpenUntil = Now + Target.OpenDuration;
  Target.TrialInProgress = false;
  Target.Share = 0.0;
  Target.ConsecutiveFailures = 0;
  Target.Successes = 0.0;
  Target.Failures = 0.0;
  Target.LatencySamples = 0.0;
}

auto WorkerHealth::recordStart(std::string_view Worker, TimePoint Now) -> void {
  WorkerState &Target = findOrAddWorker(Worker);
  if (Target.State != CircuitState::Open || Now < Target.OpenUntil)
    return;
  Target.TrialInProgress = true;
  Target.TrialStarted = Now;
}

auto WorkerHealth::recordSuccess(std::string_view Worker,
                                 std::optional<Milliseconds> Latency,
                                 TimePoint Now) -> void {
  WorkerState &Target = findOrAddWorker(Worker);
  decayCounts(Target, Now);
  if (Latency) {
    auto SampleMs = static_cast<double>(Latency->count());
    if (Target.LatencySamples > 0)
      SampleMs =
          std::min(SampleMs, MaximumLatencyRatio *
                                 std::max(Target.LatencyMs, MinimumLatencyMs));
    Target.LatencyMs =
        Target.LatencySamples > 0
            ? Target.LatencyMs + LatencyWeight * (SampleMs - Target.LatencyMs)
            : SampleMs;
    Target.LatencySamples += 1.0;
  }
  Target.ConsecutiveFailures = 0;
  Target.Successes += 1.0;
  if (Target.State == CircuitState::Open) {
    // The answer belongs to an attempt from before the circuit opened, not to a
    // trial.
    if (!Target.TrialInProgress)
      return;
    Target.TrialInProgress = false;
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
  Target.OpenDuration = Milliseconds(0);
}

auto WorkerHealth::recordFailure(std::string_view Worker, TimePoint Now)
    -> void {
  WorkerState &Target = findOrAddWorker(Worker);
  if (Target.State == CircuitState::Open && !Target.TrialInProgress)
    return;
  if (Target.State != CircuitState::Closed) {
    openCircuit(Target, Now);
    return;
  }
  decayCounts(Target, Now);
  ++Target.ConsecutiveFailures;
  Target.Failures += 1.0;
  double Total = Target.Successes + Target.Failures;
  bool ExceedsFailureRate = Total >= Policy.MinimumSamples &&
                            Target.Failures >= Policy.FailureRate * Total;
  if (Target.ConsecutiveFailures >= Policy.ConsecutiveFailures ||
      ExceedsFailureRate)
    openCircuit(Target, Now);
}

auto WorkerHealth::recordNoResult(std::string_view Worker) -> void {
  findOrAddWorker(Worker).TrialInProgress = false;
}

auto WorkerHealth::ejectOutliers(TimePoint Now) -> std::vector<std::string> {
  std::vector<double> Latencies;
  std::vector<std::pair<double, std::string_view>> Candidates;
  std::size_t Ejected = 0;
  for (const auto &[Name, Worker] : Workers) {
    if (Worker.EjectedForLatency)
      ++Ejected;
    if (Worker.State != CircuitState::Closed ||
        Worker.LatencySamples < MinimumLatencySamples)
      continue;
    Latencies.push_back(Worker.LatencyMs);
    Candidates.emplace_back(Worker.LatencyMs, Name);
  }
  if (Latencies.size() < 3)
    return {};
  auto Median = Latencies.begin() +
                static_cast<std::ptrdiff_t>((Latencies.size() - 1) / 2);
  std::nth_element(Latencies.begin(), Median, Latencies.end());
  double Limit = std::max(Policy.LatencyFactor * *Median,
                          static_cast<double>(Policy.LatencyFloor.count()));
  std::sort(Candidates.rbegin(), Candidates.rend());
  // At most half of the workers are ejected. Latency is compared with the other
  // workers, so it cannot show that more than half are slow, and ejecting more
  // would overload the rest at a load peak.
  std::size_t Allowed = Workers.size() / 2;
  std::vector<std::string> Result;
  for (const auto &[Latency, Name] : Candidates) {
    if (Latency <= Limit || Ejected >= Allowed)
      break;
    WorkerState &Target = findOrAddWorker(Name);
    openCircuit(Target, Now);
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
  const WorkerState &Known = Position->second;
  if (Known.State == CircuitState::Open && Now >= Known.OpenUntil)
    return CircuitState::HalfOpen;
  return Known.State;
}

auto WorkerHealth::trafficShare(std::string_view Worker, TimePoint Now) const
    -> double {
  auto Position = Workers.find(Worker);
  if (Position == Workers.end())
    return 1.0;
  const WorkerState &Known = Position->second;
  switch (circuitState(Worker, Now)) {
  case CircuitState::Closed:
    return 1.0;
  case CircuitState::Open:
    return 0.0;
  case CircuitState::Recovering:
    return Known.Share;
  case CircuitState::HalfOpen:
    break;
  }
  bool TrialRunning =
      Known.TrialInProgress && Now - Known.TrialStarted < Policy.TrialTimeout;
  return TrialRunning ? 0.0 : TrialShare;
}

} // namespace jayramp
