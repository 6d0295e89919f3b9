#include "Requests/FairQueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <queue>
#include <random>

namespace jayramp {
namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

auto makeEntry(std::uint64_t Id, const std::string &Account,
               WorkClass Class = WorkClass::Short,
               TimePoint Deadline = Start + std::chrono::hours(1))
    -> QueueEntry {
  return {Id, Account, Class, Deadline, 1.0};
}

// Guards against one account using the capacity of others. At five times the
// capacity each account must be served within 10% of its share. A FIFO queue
// serves accounts by the number of requests they send instead.
TEST(FairQueueTest, servesAccountsByShareAtFiveTimesTheCapacity) {
  auto Queue = FairQueue::make({}).value();
  const std::vector<std::string> Names{"a", "b", "c", "d"};
  const std::vector<double> Shares{0.5, 0.25, 0.15, 0.1};
  // Account index of each arrival during the time of one served request.
  // Account "d" has the smallest share and sends 40% of the requests.
  std::vector<std::size_t> Arrivals{0, 1, 2, 3, 3};
  // With a fixed order one account would always get the free place of the full
  // FIFO queue.
  std::mt19937 Random(5);
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    Queue.setShare(Names[Index], Shares[Index]);
  std::map<std::string, int> Served;
  std::map<std::string, int> ServedByFifo;
  std::deque<std::string> FifoQueue;
  std::uint64_t NextId = 0;
  TimePoint Now = Start;
  constexpr int Rounds = 20'000;
  for (int Round = 0; Round < Rounds; ++Round) {
    Now += Milliseconds(1);
    std::shuffle(Arrivals.begin(), Arrivals.end(), Random);
    for (std::size_t Index : Arrivals) {
      Queue.push(makeEntry(NextId++, Names[Index], WorkClass::Short,
                           Now + Milliseconds(500)),
                 Now);
      if (FifoQueue.size() < 4'096)
        FifoQueue.push_back(Names[Index]);
    }
    Queue.takeExpired(Now);
    if (auto Entry = Queue.pop(true, Now))
      ++Served[Entry->Account];
    ++ServedByFifo[FifoQueue.front()];
    FifoQueue.pop_front();
  }
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    double Share = static_cast<double>(Served[Names[Index]]) / Rounds;
    std::cout << Names[Index] << ": share " << Shares[Index] << ", served "
              << Share << ", FIFO "
              << static_cast<double>(ServedByFifo[Names[Index]]) / Rounds
              << "\n";
    EXPECT_NEAR(Share, Shares[Index], Shares[Index] * 0.1);
  }
  EXPECT_GT(ServedByFifo["d"], Rounds * 0.2);
}

/// Returns the p99 wait of short work in milliseconds, simulated with 32 slots
/// at 80% load.
auto shortWorkP99WaitMs(bool WithLong, bool UseFifo) -> double {
  constexpr int Slots = 32;
  constexpr int LongLimit = 16;
  auto Queue = FairQueue::make({100'000, 100'000, 1.0}).value();
  std::mt19937 Random(11);
  std::exponential_distribution<double> ArrivalGap(1.0);
  std::deque<std::pair<std::uint64_t, WorkClass>> FifoQueue;
  using End = std::pair<double, WorkClass>;
  std::priority_queue<End, std::vector<End>, std::greater<>> Running;
  std::vector<double> Arrived;
  std::vector<WorkClass> Classes;
  std::vector<double> Waits;
  int LongRunning = 0;
  // Short work takes 20 ms, long work 2 s. The load of 25.6 busy slots is all
  // short work, or half short and half long work.
  double ShortRate = (WithLong ? 12.8 : 25.6) / 20.0;
  double LongRate = WithLong ? 12.8 / 2'000.0 : 0.0;
  double NextShort = ArrivalGap(Random) / ShortRate;
  double NextLong = WithLong ? ArrivalGap(Random) / LongRate : 1e18;
  auto ToTimePoint = [](double Ms) {
    return Start +
           std::chrono::microseconds(static_cast<std::int64_t>(Ms * 1'000));
  };
  auto StartRun = [&](std::uint64_t Id, double Now) {
    WorkClass Class = Classes[Id];
    if (Class == WorkClass::Short)
      Waits.push_back(Now - Arrived[Id]);
    else
      ++LongRunning;
    Running.emplace(Now + (Class == WorkClass::Short ? 20.0 : 2'000.0), Class);
  };
  constexpr double Duration = 200'000.0;
  double Now = 0.0;
  while (Now < Duration) {
    double NextEnd = Running.empty() ? 1e18 : Running.top().first;
    Now = std::min({NextShort, NextLong, NextEnd});
    if (Now == NextEnd) {
      LongRunning -= Running.top().second == WorkClass::Long ? 1 : 0;
      Running.pop();
    } else {
      bool IsShort = Now == NextShort;
      WorkClass Class = IsShort ? WorkClass::Short : WorkClass::Long;
      std::uint64_t Id = Arrived.size();
      Arrived.push_back(Now);
      Classes.push_back(Class);
      if (IsShort)
        NextShort = Now + ArrivalGap(Random) / ShortRate;
      else
        NextLong = Now + ArrivalGap(Random) / LongRate;
      if (UseFifo)
        FifoQueue.emplace_back(Id, Class);
      else
        Queue.push(makeEntry(Id, "a", Class), ToTimePoint(Now));
    }
    while (Running.size() < Slots) {
      if (UseFifo) {
        if (FifoQueue.empty())
          break;
        StartRun(FifoQueue.front().first, Now);
        FifoQueue.pop_front();
        continue;
      }
      auto Next = Queue.pop(LongRunning < LongLimit, ToTimePoint(Now));
      if (!Next)
        break;
      StartRun(Next->Id, Now);
    }
  }
  auto Percentile99 =
      Waits.begin() + static_cast<std::ptrdiff_t>(Waits.size() * 99 / 100);
  std::nth_element(Waits.begin(), Percentile99, Waits.end());
  return *Percentile99;
}

// Guards against short work waiting behind long work: long work must not more
// than double its p99 wait.
TEST(FairQueueTest, shortWorkDoesNotWaitBehindLong) {
  double Alone = shortWorkP99WaitMs(false, false);
  double Mixed = shortWorkP99WaitMs(true, false);
  double Fifo = shortWorkP99WaitMs(true, true);
  std::cout << "p99 wait of short work in ms: alone " << Alone
            << ", with long work " << Mixed << ", one FIFO queue " << Fifo
            << "\n";
  EXPECT_LE(Mixed, 2.0 * Alone);
  EXPECT_GT(Fifo, 2.0 * Alone);
}

// Guards against requests being queued that cannot start before their deadline,
// and against a queue that still refuses requests after the backlog is gone.
TEST(FairQueueTest, refusesRequestsThatCannotStartBeforeTheirDeadline) {
  auto Queue = FairQueue::make({}).value();
  TimePoint Now = Start;
  for (std::uint64_t Id = 0; Id < 200; ++Id)
    ASSERT_TRUE(std::holds_alternative<PushQueued>(
        Queue.push(makeEntry(Id, "a"), Now)));
  for (int Count = 0; Count < 100; ++Count) {
    Now += Milliseconds(10);
    EXPECT_TRUE(Queue.pop(true, Now).has_value());
  }
  // 100 entries are left, and 100 are served per second.
  EXPECT_NEAR(Queue.estimatedWait("a", WorkClass::Short, Now).count(), 1'000,
              100);
  auto TooLate = Queue.push(
      makeEntry(900, "a", WorkClass::Short, Now + Milliseconds(500)), Now);
  EXPECT_TRUE(std::holds_alternative<PushDeadlineTooShort>(TooLate));
  auto InTime = Queue.push(
      makeEntry(901, "a", WorkClass::Short, Now + Milliseconds(1'500)), Now);
  EXPECT_TRUE(std::holds_alternative<PushQueued>(InTime));
  // Another account has its own share and waits less.
  EXPECT_LT(Queue.estimatedWait("b", WorkClass::Short, Now), Milliseconds(100));
  TimePoint AfterPause = Now + std::chrono::seconds(30);
  EXPECT_GT(Queue.estimatedWait("a", WorkClass::Short, AfterPause),
            std::chrono::seconds(60));
  Now = Start + std::chrono::hours(2);
  EXPECT_EQ(Queue.takeExpired(Now).size(), 101U);
  EXPECT_TRUE(std::holds_alternative<PushQueued>(Queue.push(
      makeEntry(902, "a", WorkClass::Short, Now + Milliseconds(10)), Now)));
}

// Guards against an unbounded queue and against one account filling the queue.
TEST(FairQueueTest, limitsEntriesOfQueueAndAccount) {
  auto Queue = FairQueue::make({3, 2, 1.0}).value();
  Queue.push(makeEntry(1, "a"), Start);
  EXPECT_TRUE(std::holds_alternative<PushInvalidEntry>(
      Queue.push(makeEntry(1, "a"), Start)));
  Queue.push(makeEntry(2, "a", WorkClass::Long), Start);
  EXPECT_TRUE(std::holds_alternative<PushAccountLimitReached>(
      Queue.push(makeEntry(3, "a"), Start)));
  Queue.push(makeEntry(4, "b"), Start);
  EXPECT_TRUE(std::holds_alternative<PushQueueFull>(
      Queue.push(makeEntry(5, "c"), Start)));
}

// Guards against entries that are lost or returned twice, in any order of
// calls.
RC_GTEST_PROP(FairQueueTest, returnsEachEntryExactlyOnce,
              (std::vector<std::uint32_t> Choices)) {
  auto Queue = FairQueue::make({50, 30, 1.0}).value();
  std::map<std::uint64_t, QueueEntry> Waiting;
  std::uint64_t NextId = 0;
  TimePoint Now = Start;
  for (std::uint32_t Choice : Choices) {
    Now += Milliseconds(Choice / 1'000 % 5);
    std::uint64_t Id = NextId == 0 ? 0 : Choice / 10 % NextId;
    switch (Choice % 7) {
    case 0:
    case 1:
    case 2: {
      auto Class = Choice / 7 % 2 == 0 ? WorkClass::Short : WorkClass::Long;
      QueueEntry Item = makeEntry(
          NextId++, std::string(1, static_cast<char>('a' + Choice % 5)), Class,
          Now + Milliseconds(Choice / 70 % 60));
      if (std::holds_alternative<PushQueued>(Queue.push(Item, Now)))
        Waiting.emplace(Item.Id, Item);
      break;
    }
    case 3: {
      bool LongAllowed = Choice / 7 % 2 == 0;
      if (auto Item = Queue.pop(LongAllowed, Now)) {
        RC_ASSERT(Waiting.at(Item->Id) == *Item);
        RC_ASSERT(Item->Deadline > Now);
        RC_ASSERT(LongAllowed || Item->Class == WorkClass::Short);
        if (Choice / 14 % 2 == 0)
          RC_ASSERT(Queue.pushFront(*Item));
        else
          Waiting.erase(Item->Id);
      }
      break;
    }
    case 4:
      if (auto Item = Queue.cancel(Id))
        RC_ASSERT(Waiting.erase(Item->Id) == 1U);
      break;
    case 5:
      if (Queue.reclassify(Id, WorkClass::Long))
        Waiting.at(Id).Class = WorkClass::Long;
      break;
    default:
      for (const QueueEntry &Item : Queue.takeExpired(Now)) {
        RC_ASSERT(Item.Deadline <= Now);
        RC_ASSERT(Waiting.erase(Item.Id) == 1U);
      }
    }
  }
  std::size_t Remaining = Queue.takeExpired(Now).size();
  while (Queue.pop(true, Now))
    ++Remaining;
  RC_ASSERT(Remaining == Waiting.size());
  RC_ASSERT(Queue.size() == 0U);
}

// Guards against a change of the queue limit taking effect only after a
// restart.
TEST(FairQueueSettingTest, accountLimitChangesWhileRunning) {
  auto Queue = FairQueue::make({.MaxEntriesPerAccount = 1}).value();
  TimePoint Now{};
  auto Push = [&](std::uint64_t Id) {
    return Queue.push({.Id = Id,
                       .Account = "acme",
                       .Class = WorkClass::Short,
                       .Deadline = Now + Milliseconds(1000),
                       .Cost = 1.0},
                      Now);
  };
  EXPECT_TRUE(std::holds_alternative<PushQueued>(Push(1)));
  EXPECT_TRUE(std::holds_alternative<PushAccountLimitReached>(Push(2)));
  EXPECT_FALSE(Queue.setAccountLimit(0));
  EXPECT_TRUE(Queue.setAccountLimit(2));
  EXPECT_TRUE(std::holds_alternative<PushQueued>(Push(3)));
  EXPECT_TRUE(std::holds_alternative<PushAccountLimitReached>(Push(4)));
}

} // namespace
} // namespace jayramp
