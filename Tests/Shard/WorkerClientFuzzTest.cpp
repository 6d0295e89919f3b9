// Sends orders to a worker in random sequences with restarts, lost connections
// and unanswered requests. Set JAYRAMP_SEEDS for more sequences and
// JAYRAMP_SEED for the first one.

#include "MessageMutator.h"
#include "WorkerClientHarness.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>

namespace jayramp::test {
namespace {

using shard::OrderOutcome;

/// One random sequence. Each process checks that it receives no start, lease or
/// acknowledgement for another one.
class OrderSequence : public WorkerClientHarness {
public:
  explicit OrderSequence(unsigned Seed) : Random(Seed) {
    Timeout = Milliseconds(30);
    restart();
  }

  auto run(unsigned Steps) -> void {
    for (unsigned Step = 0; Step < Steps; ++Step) {
      disturbOrSend();
      if (below(2) == 0)
        runFor(Milliseconds(below(3)));
    }
    awaitAll();
    // Late replies to orders that have ended would be replies too many.
    runFor(Timeout);
    ASSERT_EQ(replies(), Sent);
  }

  /// Returns how many attempts a start for the process that listens takes when
  /// nothing disturbs it and all former processes have ended.
  auto attemptsUntilStarted() -> unsigned {
    constexpr unsigned Limit = 10;
    Timeout = Milliseconds(2000);
    restart();
    for (const auto &Each : Separated)
      Each->closeConnections();
    for (unsigned Attempt = 1; Attempt < Limit; ++Attempt)
      if (start(Incarnation).Outcome == OrderOutcome::Accepted)
        return Attempt;
    return Limit;
  }

  auto misdirected() -> std::vector<std::string> {
    if (Worker)
      Separated.push_back(std::move(Worker));
    std::vector<std::string> Orders;
    for (const auto &Each : Separated)
      for (const auto &Order : Each->misdirected())
        Orders.push_back(std::to_string(Each->incarnation()) + ": " + Order);
    return Orders;
  }

private:
  auto below(unsigned Limit) -> unsigned {
    return std::uniform_int_distribution<unsigned>(0, Limit - 1)(Random);
  }

  auto restart() -> void {
    listenBeside(++Incarnation);
    if (below(3) != 0 && !Separated.empty())
      Separated.back()->closeConnections();
  }

  auto disturbOrSend() -> void {
    switch (below(16)) {
    case 0:
    case 1:
      restart();
      return;
    case 2:
      Worker->closeConnections();
      return;
    case 3:
      Client.closeIdleConnections(Port.address());
      return;
    case 4:
    case 5:
      disturbAnswers();
      return;
    case 6: // Nothing listens until the next restart.
      Worker->stopListening();
      return;
    default:
      sendOrders();
    }
  }

  auto disturbAnswers() -> void {
    static const char *const Paths[] = {"/hold", "/run-start", "/run-stop"};
    LoopbackWorker::Behaviour Given;
    switch (below(6)) {
    case 0:
      Given.Answers = false;
      break;
    case 1:
      Given.Status = 429;
      break;
    case 2:
      Given.ClosesConnection = true;
      break;
    case 3:
      Given.Delay = Milliseconds(1 + below(10));
      break;
    default: // Answers at once again.
      break;
    }
    Worker->behave(Paths[below(3)], Given);
  }

  auto sendOrders() -> void {
    // Mostly for the present process or the one before it.
    static constexpr unsigned Ages[] = {0, 0, 0, 1, 1, 2};
    const auto Age = Ages[below(6)];
    const auto IsKnown = below(8) != 0 && Incarnation > Age;
    const auto MeantFor = IsKnown ? Incarnation - Age : 0;
    for (unsigned Left = 1 + below(6); Left > 0; --Left)
      switch (below(5)) {
      case 0:
        sendStop(MeantFor);
        break;
      case 1:
      case 2:
        sendRenewal(MeantFor);
        break;
      default:
        sendStart(MeantFor);
      }
  }

  std::mt19937 Random;
  std::int64_t Incarnation = 0;
};

// Guards against orders that reach another process than the one that they were
// computed for, and against a worker that gets no orders after disturbances.
TEST(WorkerClientFuzzTest, ordersReachOnlyTheProcessThatTheyAreMeantFor) {
  constexpr unsigned Steps = 60;
  // The first attempts find connections to former processes.
  constexpr unsigned MaxAttempts = 3;
  const auto First = environmentNumber("JAYRAMP_SEED", 1);
  const auto Count = environmentNumber("JAYRAMP_SEEDS", 10);
  std::map<OrderOutcome, unsigned> Outcomes;
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    OrderSequence Sequence(Seed);
    Sequence.run(Steps);
    for (const auto &Reply : Sequence.Started)
      ++Outcomes[Reply.Outcome];
    EXPECT_LE(Sequence.attemptsUntilStarted(), MaxAttempts) << "seed " << Seed;
    EXPECT_EQ(Sequence.misdirected(), std::vector<std::string>())
        << "seed " << Seed;
    ASSERT_FALSE(HasFailure()) << "seed " << Seed;
  }
  for (const auto &[Outcome, Starts] : Outcomes)
    std::printf("outcome=%d starts=%u\n", static_cast<int>(Outcome), Starts);
  EXPECT_GT(Outcomes[OrderOutcome::Accepted], 0U);
  EXPECT_GT(Outcomes[OrderOutcome::WrongIncarnation], 0U);
  EXPECT_GT(Outcomes[OrderOutcome::NotSent], 0U);
}

} // namespace
} // namespace jayramp::test
