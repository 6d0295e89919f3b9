#include "RestartPlayer.h"

#include "standins/Cluster.h"

namespace jayramp::platform_test {

namespace {

/// The clock of a process shows little at its start, as after a boot of the
/// machine, or goes on from any other value.
constexpr std::int64_t MaxBootClockMs = 1000;
constexpr std::int64_t MaxClockMs = 10'000'000;

auto randomClockMs(std::mt19937_64 &Random) -> std::int64_t {
  const bool IsOfBoot = Random() % 3 != 0;
  return std::uniform_int_distribution<std::int64_t>(
      0, IsOfBoot ? MaxBootClockMs : MaxClockMs)(Random);
}

} // namespace

RestartPlayer::RestartPlayer(review::Cluster &Platform, const RestartPlan &Plan,
                             std::uint64_t Seed)
    : Platform(Platform), Random(Seed) {
  for (const auto &Each : Plan.Restarts)
    schedule(Each);
  for (const auto &Each : Plan.Cuts)
    schedule(Each);
}

auto RestartPlayer::scheduleStep(const WorkerGroup &Group, std::int64_t AtMs,
                                 const std::string &What,
                                 const std::function<void(std::size_t)> &Step)
    -> void {
  Steps.emplace(AtMs, [=, this] {
    Platform.record().write(Group.Name + " " + What);
    for (const auto Worker : Group.Workers)
      Step(Worker);
  });
}

auto RestartPlayer::schedule(const WorkerCut &Cut) -> void {
  scheduleStep(Cut.Group, Cut.AtMs, "is cut off",
               [this, Delays = Cut.DelaysCalls](std::size_t Worker) {
                 beginCut(Worker, Delays);
               });
  scheduleStep(Cut.Group, Cut.endMs(), "is reached again",
               [this](std::size_t Worker) { endCut(Worker); });
}

auto RestartPlayer::beginCut(std::size_t Worker, bool DelaysCalls) -> void {
  ++CutsByWorker[Worker];
  Platform.workers()[Worker]->setCutOff(true, DelaysCalls);
}

auto RestartPlayer::endCut(std::size_t Worker) -> void {
  if (--CutsByWorker[Worker] == 0)
    Platform.workers()[Worker]->setCutOff(false);
}

auto RestartPlayer::schedule(const WorkerRestart &Restart) -> void {
  auto &Workers = Platform.workers();
  const auto Kind = Restart.IsOfMachines
                        ? review::WorkerStandIn::Crash::Machine
                        : review::WorkerStandIn::Crash::Process;
  scheduleStep(Restart.Group, Restart.AtMs, "crashes",
               [&, Kind](std::size_t Worker) { Workers[Worker]->crash(Kind); });
  scheduleStep(Restart.Group, Restart.returnMs(), "is back",
               [this, Delay = Restart.MaxEntryDelayMs](std::size_t Worker) {
                 startAgain(Worker, Delay);
               });
  schedule(WorkerCut{Restart.Group, Restart.cutAtMs(), Restart.CutMs,
                     Restart.DelaysCalls});
}

auto RestartPlayer::startAgain(std::size_t Worker, std::int64_t MaxEntryDelayMs)
    -> void {
  review::WorkerStandIn::NextProcess Next;
  Next.EntryDelayMs =
      std::uniform_int_distribution<std::int64_t>(0, MaxEntryDelayMs)(Random);
  Next.ClockMs = randomClockMs(Random);
  Platform.workers()[Worker]->startAgain(Next);
}

auto RestartPlayer::begin() -> void {
  Player = std::jthread([this, BeginMs = Platform.record().elapsedMs()] {
    for (const auto &[AtMs, Step] : Steps) {
      const auto LeftMs = BeginMs + AtMs - Platform.record().elapsedMs();
      if (LeftMs > 0)
        review::sleepMs(LeftMs);
      Step();
    }
  });
}

} // namespace jayramp::platform_test
