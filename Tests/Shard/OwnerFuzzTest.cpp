// Plays random faults of workers, the store and the owner in real time, and
// checks that all jobs end and all room is free soon after the last of them.
// JAYRAMP_SEED repeats a play.

#include "MessageMutator.h"
#include "ShardFixture.h"

#include <array>
#include <random>
#include <sstream>

namespace jayramp::test {
namespace {

using shard::OrderOutcome;

class OwnerFuzzTest : public ShardFixture {
protected:
  static constexpr int WorkerCount = 12;
  static constexpr int JobCount = 60;
  static constexpr Milliseconds FaultTime{3000};
  /// Long enough for a machine that is busy; no play on an idle one needed more
  /// than two seconds.
  static constexpr Milliseconds LongestWait{8000};

  auto number(int Low, int High) -> int {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }
  auto failedStart() -> OrderOutcome {
    constexpr std::array Outcomes = {
        OrderOutcome::LeaseExpired, OrderOutcome::NoCapacity,
        OrderOutcome::Refused,      OrderOutcome::WrongIncarnation,
        OrderOutcome::Unanswered,   OrderOutcome::NotSent};
    return Outcomes[static_cast<std::size_t>(
        number(0, static_cast<int>(Outcomes.size()) - 1))];
  }
  static auto workerId(int Number) -> std::string {
    return "w" + std::to_string(Number);
  }

  /// \p SomeStayFaulty tells whether a quarter of the workers starts nothing
  /// after the faults either.
  auto play(std::uint64_t Seed, bool SomeStayFaulty) -> void {
    Random.seed(Seed);
    for (int Number = 0; Number < WorkerCount; ++Number) {
      Registry.add(workerId(Number), "r" + std::to_string(Number % 3));
      Workers[workerId(Number)].WorkTime = Milliseconds(number(20, 200));
    }
    startOwner(Token);
    const auto End = Clock::now() + FaultTime;
    int Submitted = 0;
    while (Clock::now() < End) {
      if (Submitted < JobCount && number(0, 1) == 0)
        submit(job("j" + std::to_string(Submitted++), number(1, 4),
                   number(0, 3) == 0, number(0, 1) == 0 ? 8 : 2));
      disturb();
      runFor(Milliseconds(20));
    }
    calm();
    for (int Number = 0; SomeStayFaulty && Number < WorkerCount / 4; ++Number)
      Workers[workerId(Number * 3)].StartOutcome = failedStart();
    for (int Last = Submitted + 10; Submitted < Last; ++Submitted)
      submit(job("j" + std::to_string(Submitted), number(1, 4), false, 2));
    const bool AllEnded = runUntil(
        [&] {
          return haveEnded(Submitted) && Owner->scheduler().runs().empty();
        },
        LongestWait);
    EXPECT_TRUE(AllEnded) << "seed " << Seed << "\n" << description();
  }

  /// Returns whether the first \p Count jobs have ended, as far as they were
  /// accepted.
  auto haveEnded(int Count) const -> bool {
    for (int Number = 0; Number < Count; ++Number) {
      const auto *Job = Owner->scheduler().job("j" + std::to_string(Number));
      if (Job && !isFinal(Job->Progress.State))
        return false;
    }
    return true;
  }

  auto disturb() -> void {
    const auto Id = workerId(number(0, WorkerCount - 1));
    auto &Each = Workers[Id];
    switch (number(0, 9)) {
    case 0:
    case 1:
      Each.Unresponsive = !Each.Unresponsive;
      break;
    case 2:
      Workers.restart(Id);
      Workers[Id].WorkTime = Milliseconds(number(20, 200));
      if (number(0, 1) == 0)
        Registry.report(Id, Workers[Id].Incarnation, 1);
      break;
    case 3:
      Each.StartOutcome =
          number(0, 1) == 0 ? std::optional<OrderOutcome>() : failedStart();
      break;
    case 4:
      Each.LosesStops = !Each.LosesStops;
      break;
    case 5:
      Each.AnswerDelay = Milliseconds(number(0, 60));
      break;
    case 6:
      if (number(0, 2) == 0)
        Registry.remove(Id);
      else
        Registry.add(Id, "r0");
      Registry.report(Id, Each.Incarnation, 0);
      break;
    case 7:
      Store.setPartitionDown(
          Rows.journalPartitions()[static_cast<std::size_t>(number(0, 1))],
          number(0, 2) == 0);
      break;
    case 8:
      if (number(0, 9) == 0) {
        Owner.reset();
        startOwner(++Token);
      } else {
        Each.TellsClock = number(0, 3) != 0;
      }
      break;
    default:
      Each.UnansweredStarts = static_cast<unsigned>(number(0, 2));
    }
  }

  auto calm() -> void {
    for (const auto &Each : Rows.journalPartitions())
      Store.setPartitionDown(Each, false);
    for (int Number = 0; Number < WorkerCount; ++Number) {
      const auto Id = workerId(Number);
      auto &Each = Workers[Id];
      Each.Unresponsive = false;
      Each.StartOutcome.reset();
      Each.LosesStops = false;
      Each.AnswerDelay = Milliseconds(0);
      Each.TellsClock = true;
      Each.UnansweredStarts = 0;
      Registry.add(Id, "r" + std::to_string(Number % 3));
      Registry.report(Id, Each.Incarnation, 0);
    }
    if (!Owner)
      startOwner(++Token);
  }

  auto description() -> std::string {
    std::ostringstream Text;
    Text << "recovering " << Owner->isRecovering() << "\n";
    for (const auto &[Id, LiveRun] : Owner->scheduler().runs())
      Text << "run " << toString(Id) << " on " << LiveRun.Worker << " phase "
           << static_cast<int>(LiveRun.Phase) << "\n";
    for (const auto &[Id, Job] : Owner->scheduler().jobs())
      if (!isFinal(Job.Progress.State))
        Text << "job " << Id << " waiting " << Job.waitingTasks() << " on-hold "
             << Job.OnHold << "\n";
    for (const auto &[Id, Entry] : Owner->scheduler().workers())
      Text << "worker " << Id << " reachable " << Entry.Reachable
           << " registered " << Entry.Registered << " paused "
           << (Clock::now() < Entry.PausedUntil) << " runs "
           << Entry.Runs.size() << " running " << Workers[Id].Running.size()
           << "\n";
    return Text.str();
  }

  std::mt19937_64 Random;
  std::uint64_t Token = 1;
};

// Guards against tasks that wait, and room that is taken, for ever after
// faults.
TEST_F(OwnerFuzzTest, allJobsEndSoonAfterTheFaults) {
  play(environmentNumber("JAYRAMP_SEED", 1), false);
}

// Guards against tasks that never leave workers that do not start them.
TEST_F(OwnerFuzzTest, allJobsEndSoonBesideWorkersThatStartNothing) {
  play(environmentNumber("JAYRAMP_SEED", 1), true);
}

} // namespace
} // namespace jayramp::test
