#include "Shard/WorkerLife.h"

#include "WorkerLeaseModel.h"
#include "WorkerLifeModel.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <random>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace jayramp::test {
namespace {

using shard::RunOverEvidence;
using shard::WorkerLife;
using namespace shard;
using namespace shard::contact;
using namespace shard::life_event;

constexpr Milliseconds ShortestProbeDelay{100};

/// Incarnations, in the order of their starts.
constexpr std::int64_t Former = 1;
constexpr std::int64_t Present = 2;
constexpr std::int64_t Next = 3;

auto lifeAfter(const std::vector<Event> &Events) -> WorkerLife {
  WorkerLife Life;
  for (const auto &Each : Events)
    Life = Life.after(Each).Next;
  return Life;
}

struct LifeCase {
  std::string Name;
  std::vector<Event> Before;
  Event Seen;
  State Expected;
  bool AskNow = false;
  bool FormerEnded = false;
};

auto lifeCases() -> std::vector<LifeCase> {
  const std::vector<Event> AnsweringLife{EntrySeen{Present}, Answered{Present}};
  auto SilentLife = AnsweringLife;
  SilentLife.emplace_back(Unanswered{});
  auto ReplacedLife = AnsweringLife;
  ReplacedLife.emplace_back(EntrySeen{Next});
  const std::vector<Event> RestartedLife{EntrySeen{Former}, Answered{Former},
                                         Answered{Present}};
  return {
      {"an entry introduces the process, which is asked",
       {},
       EntrySeen{Present},
       Introduced{Present},
       true},
      {"an entry that tells of no process says nothing of it", AnsweringLife,
       EntrySeen{0}, Answering{Present}},
      {"a new entry before the first answer is asked again",
       {EntrySeen{Present}},
       EntrySeen{Next},
       Introduced{Next},
       true},
      {"a new entry casts doubt on a process that answers", AnsweringLife,
       EntrySeen{Next}, Replaced{Present, 0}, true},
      {"a new entry does not end the silence, but the worker is asked",
       SilentLife, EntrySeen{Next}, Replaced{Present, 0}, true},
      {"an entry does not end the doubt", ReplacedLife, EntrySeen{Present},
       Replaced{Present, 0}},
      {"a late entry of the former process changes nothing", RestartedLife,
       EntrySeen{Former}, Answering{Present}},
      {"the removal of the entry does not stop a process that answers",
       AnsweringLife, EntryRemoved{Present, true}, Answering{Present}},
      {"the process in doubt may answer after all", ReplacedLife,
       Answered{Present}, Answering{Present}},
      {"an answer of another process ends the former one", ReplacedLife,
       Answered{Next}, Answering{Next}, false, true},
      {"an answer of a process other than the introduced one ends that one",
       {EntrySeen{Former}},
       Answered{Present},
       Answering{Present},
       false,
       true},
      {"a silent worker may answer as another process", SilentLife,
       Answered{Next}, Answering{Next}, false, true},
      {"the first answer without an entry ends nothing",
       {},
       Answered{Present},
       Answering{Present}},
      {"the doubt outlasts calls without an answer", ReplacedLife, Unanswered{},
       Replaced{Present, 1}},
      {"an order that found another process casts doubt", AnsweringLife,
       OtherProcessFound{}, Replaced{Present, 0}, true},
      {"an order that found another process ends no silence", SilentLife,
       OtherProcessFound{}, Replaced{Present, 0}, true},
  };
}

// Guards against states that differ from what the events show.
TEST(WorkerLifeTest, eventsLeadToTheStateThatTheyShow) {
  for (const auto &Each : lifeCases()) {
    SCOPED_TRACE(Each.Name);
    const auto Result = lifeAfter(Each.Before).after(Each.Seen);
    EXPECT_TRUE(Result.Next.state() == Each.Expected);
    EXPECT_EQ(Result.AskNow, Each.AskNow);
    EXPECT_EQ(Result.FormerEnded, Each.FormerEnded);
  }
}

// Guards against a worker that is back and waits for the long delay that its
// silence before has led to.
TEST(WorkerLifeTest, silentWorkerThatReturnsIsAskedAtOnce) {
  const auto Life = lifeAfter({EntrySeen{Present}, Unanswered{}, Unanswered{},
                               EntryRemoved{Present, false}});
  EXPECT_FALSE(Life.mustBeAsked());
  EXPECT_TRUE(Life.after(EntrySeen{Present}).AskNow);
}

// Guards against a flood of calls to a silent worker, and against a worker that
// is forgotten.
TEST(WorkerLifeTest, delayOfProbesDoublesUpToASecond) {
  WorkerLife Life = lifeAfter({EntrySeen{Present}});
  std::vector<std::int64_t> Delays;
  for (int Failures = 1; Failures <= 40; ++Failures) {
    Life = Life.after(Unanswered{}).Next;
    Delays.push_back(Life.probeDelay(ShortestProbeDelay).count());
  }
  EXPECT_EQ(std::vector(Delays.begin(), Delays.begin() + 5),
            (std::vector<std::int64_t>{200, 400, 800, 1000, 1000}));
  EXPECT_EQ(Delays.back(), 1000);
}

// Guards against concluding a run of a process by the departure of the one
// before, whose entry was removed late.
TEST(WorkerLifeTest, departureOfTheFormerProcessEndsNoRunOfTheNext) {
  const auto SilentAfterDepartureOf = [](std::int64_t Incarnation) {
    return lifeAfter({EntrySeen{Former}, Answered{Present},
                      EntryRemoved{Incarnation, true}, Unanswered{}});
  };
  EXPECT_EQ(SilentAfterDepartureOf(Former).evidenceAgainstRuns(false),
            std::nullopt);
  EXPECT_EQ(SilentAfterDepartureOf(Former).evidenceAgainstRuns(true),
            RunOverEvidence::LeaseExpired);
  EXPECT_EQ(SilentAfterDepartureOf(Present).evidenceAgainstRuns(false),
            RunOverEvidence::WorkerLeft);
}

// Guards against concluding a run that an earlier owner has started by the
// departure of a process that was the worker's only before that start.
TEST(WorkerLifeTest, departureBeforeTheFirstAnswerEndsNoRun) {
  const auto Life =
      lifeAfter({EntrySeen{Former}, Unanswered{}, EntryRemoved{Former, true}});
  EXPECT_EQ(Life.evidenceAgainstRuns(false), std::nullopt);
  EXPECT_EQ(Life.evidenceAgainstRuns(true), RunOverEvidence::LeaseExpired);
}

/// A model with the steps that led to it.
struct Trace {
  WorkerLifeModel Model;
  std::size_t Previous = 0; ///< Position of the trace before; of itself at
                            ///< the beginning.
  LifeStep Step = LifeStep::Count;
};

/// Executes all sequences of steps up to a length. Of two sequences that lead
/// to the same state, only one is continued.
class LifeExploration {
public:
  LifeExploration(LifeFault Fault, std::size_t Length) {
    add({WorkerLifeModel(Fault, false), 0, LifeStep::Count});
    add({WorkerLifeModel(Fault, true), 1, LifeStep::Count});
    std::size_t Begin = 0;
    for (std::size_t Depth = 0; Depth < Length && Violation.empty(); ++Depth)
      for (const auto End = Traces.size(); Begin < End; ++Begin)
        extend(Begin);
  }

  /// Returns the shortest violation with the steps to it; empty if none.
  auto violation() const -> const std::string & { return Violation; }
  auto stateCount() const -> std::size_t { return Traces.size(); }
  /// Returns by what runs were concluded.
  auto conclusions() const -> const std::set<RunOverEvidence> & {
    return Conclusions;
  }

private:
  struct Hash {
    const std::vector<Trace> *Traces;
    auto operator()(std::size_t Position) const -> std::size_t {
      return (*Traces)[Position].Model.hash();
    }
  };
  struct Equal {
    const std::vector<Trace> *Traces;
    auto operator()(std::size_t Left, std::size_t Right) const -> bool {
      return (*Traces)[Left].Model == (*Traces)[Right].Model;
    }
  };

  auto add(const Trace &Next) -> void {
    Traces.push_back(Next);
    if (!Known.insert(Traces.size() - 1).second)
      Traces.pop_back();
  }

  auto extend(std::size_t Position) -> void {
    for (unsigned Number = 0;
         Number < static_cast<unsigned>(LifeStep::Count) && Violation.empty();
         ++Number) {
      const auto Step = static_cast<LifeStep>(Number);
      Trace Next{Traces[Position].Model, Position, Step};
      if (!Next.Model.execute(Step))
        continue;
      if (Next.Model.concludedBy())
        Conclusions.insert(*Next.Model.concludedBy());
      if (!Next.Model.violation().empty())
        Violation = describe(Next);
      add(Next);
    }
  }

  auto describe(const Trace &Last) const -> std::string {
    std::string Steps(toString(Last.Step));
    auto Position = Last.Previous;
    for (; Traces[Position].Previous != Position;
         Position = Traces[Position].Previous)
      Steps = std::string(toString(Traces[Position].Step)) + "; " + Steps;
    return std::string(Last.Model.violation()) +
           (Position == 0 ? ": " : ": run of predecessor; ") + Steps;
  }

  std::vector<Trace> Traces;
  std::unordered_set<std::size_t, Hash, Equal> Known{0, Hash{&Traces},
                                                     Equal{&Traces}};
  std::set<RunOverEvidence> Conclusions;
  std::string Violation;
};

constexpr std::size_t ExploredLength = 12;

// Guards against a run that is concluded while a process may run it, a worker
// that is not asked again, a placement that permits no start and grants for a
// silent or unknown process, in any sequence of events.
TEST(WorkerLifeModelTest, noSequenceOfEventsViolatesAProperty) {
  const LifeExploration Exploration(LifeFault::None, ExploredLength);
  std::cout << Exploration.stateCount() << " states\n";
  EXPECT_EQ(Exploration.violation(), "");
  EXPECT_EQ(
      Exploration.conclusions(),
      (std::set{RunOverEvidence::StartRefused, RunOverEvidence::NewIncarnation,
                RunOverEvidence::LeaseExpired, RunOverEvidence::WorkerLeft}));
}

// Guards against a model that detects nothing.
TEST(WorkerLifeModelTest, detectsInjectedFaults) {
  for (const auto Fault :
       {LifeFault::HandleLateReplies, LifeFault::StartsReachAnyProcess}) {
    const LifeExploration Exploration(Fault, ExploredLength);
    std::cout << Exploration.violation() << "\n";
    EXPECT_NE(Exploration.violation(), "");
  }
}

constexpr std::size_t LeaseStepCount = 1000;

// Guards against leases that outlast what the owner takes for their end, and
// against runs that are concluded while such a lease is valid, for late and
// lost messages, restarts and inexact clocks.
RC_GTEST_PROP(WorkerLeaseProperty, noRunIsConcludedWhileItsLeaseHolds, ()) {
  const auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
      LeaseStepCount, rc::gen::inRange<std::uint32_t>(0, 1U << 31U));
  WorkerLeaseModel Model(LeaseFault::None);
  for (const auto Choice : Choices) {
    Model.executeStep(Choice);
    if (!Model.firstViolation().empty())
      RC_FAIL(std::string(Model.firstViolation()));
  }
}

/// Runs the model with the seeds from 1 to \p Seeds. Returns the first seed
/// with a violation, or 0 if there is none, and adds up the conclusions of all
/// runs.
auto findLeaseViolation(LeaseFault Fault, unsigned Seeds,
                        std::map<RunOverEvidence, std::size_t> &Conclusions)
    -> unsigned {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    std::mt19937 Random(Seed);
    WorkerLeaseModel Model(Fault);
    for (std::size_t Step = 0; Step < LeaseStepCount; ++Step)
      Model.executeStep(static_cast<std::uint32_t>(Random()));
    for (const auto &[Evidence, Count] : Model.conclusions())
      Conclusions[Evidence] += Count;
    if (!Model.firstViolation().empty()) {
      std::cout << "seed " << Seed << ": " << Model.firstViolation() << "\n";
      return Seed;
    }
  }
  return 0;
}

// Guards against a model that detects nothing, and against one that concludes
// no runs.
TEST(WorkerLeaseModelTest, detectsInjectedFaults) {
  constexpr unsigned Seeds = 10000;
  std::map<RunOverEvidence, std::size_t> Conclusions;
  for (const auto Fault :
       {LeaseFault::StartsReachAnyProcess, LeaseFault::UseClockOfAnyEntry,
        LeaseFault::SlowClocks})
    EXPECT_NE(findLeaseViolation(Fault, Seeds, Conclusions), 0U)
        << "fault " << static_cast<int>(Fault);
  Conclusions.clear();
  EXPECT_EQ(findLeaseViolation(LeaseFault::None, Seeds, Conclusions), 0U);
  for (const auto &[Evidence, Count] : Conclusions)
    std::cout << toString(Evidence) << ": " << Count << "\n";
  EXPECT_GT(Conclusions[RunOverEvidence::NewIncarnation], Seeds);
  EXPECT_GT(Conclusions[RunOverEvidence::LeaseExpired], Seeds);
}

} // namespace
} // namespace jayramp::test
