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

auto entry(std::uint64_t Id, const std::string &Account,
           WorkClass Class = WorkClass::Short,
           TimePoint Deadline = Start + std::chrono::hours(1)) -> QueueEntry {
  return {Id, Account, Class, Deadline, 1.0};
}

// Guards against a large account that takes the capacity of others: shares
// hold within 10% at five times the capacity, where one FIFO queue serves
// accounts by what they send.
TEST(FairQueueTest, sharesHoldAtFiveTimesOverload) {
  auto Queue = FairQueue::make({}).value();
  const std::vector<std::string> Names{"a", "b", "c", "d"};
  const std::vector<double> Shares{0.5, 0.25, 0.15, 0.1};
  // Arrivals for each served request; "d" with the least share sends most.
  std::vector<std::size_t> Arrivals{0, 1, 2, 3, 3};
  // A fixed order lets one account find every free place of the FIFO queue.
  std::mt19937 Random(5);
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    Queue.setShare(Names[Index], Shares[Index]);
  std::map<std::string, int> Served;
  std::map<std::string, int> ServedFirstIn;
  std::deque<std::string> FirstIn;
  std::uint64_t NextId = 0;
  TimePoint Now = Start;
  constexpr int Rounds = 20'000;
  for (int Round = 0; Round < Rounds; ++Round) {
    Now += Milliseconds(1);
    std::shuffle(Arrivals.begin(), Arrivals.end(), Random);
    for (std::size_t Index : Arrivals) {
      Queue.push(entry(NextId++, Names[Index], WorkClass::Short,
                       Now + Milliseconds(500)),
                 Now);
      if (FirstIn.size() < 4'096)
        FirstIn.push_back(Names[Index]);
    }
    Queue.takeExpired(Now);
    if (auto Entry = Queue.pop(true, Now))
      ++Served[Entry->Account];
    ++ServedFirstIn[FirstIn.front()];
    FirstIn.pop_front();
  }
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    double Share = static_cast<double>(Served[Names[Index]]) / Rounds;
    std::cout << Names[Index] << ": share " << Shares[Index] << ", served "
              << Share << ", FIFO "
              << static_cast<double>(ServedFirstIn[Names[Index]]) / Rounds
              << "\n";
    EXPECT_NEAR(Share, Shares[Index], Shares[Index] * 0.1);
  }
  EXPECT_GT(ServedFirstIn["d"], Rounds * 0.2);
}

/// p99 of the waits of short work in milliseconds, on 32 slots at 80% load.
auto shortWait(bool WithLong, bool FirstInFirstOut) -> double {
  constexpr int Slots = 32;
  constexpr int LongLimit = 16;
  auto Queue = FairQueue::make({100'000, 100'000, 1.0}).value();
  std::mt19937 Random(11);
  std::exponential_distribution<double> Gap(1.0);
  std::deque<std::pair<std::uint64_t, WorkClass>> FirstIn;
  using End = std::pair<double, WorkClass>;
  std::priority_queue<End, std::vector<End>, std::greater<>> Running;
  std::vector<double> Arrived;
  std::vector<WorkClass> Classes;
  std::vector<double> Waits;
  int LongRunning = 0;
  // Short work takes 20 ms, long work 2 s. With long work, each class brings
  // half of the load of 25.6 busy slots; without, short work brings all of it.
  double ShortRate = (WithLong ? 12.8 : 25.6) / 20.0;
  double LongRate = WithLong ? 12.8 / 2'000.0 : 0.0;
  double NextShort = Gap(Random) / ShortRate;
  double NextLong = WithLong ? Gap(Random) / LongRate : 1e18;
  auto At = [](double Ms) {
    return Start +
           std::chrono::microseconds(static_cast<std::int64_t>(Ms * 1'000));
  };
  auto Begin = [&](std::uint64_t Id, double Now) {
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
        NextShort = Now + Gap(Random) / ShortRate;
      else
        NextLong = Now + Gap(Random) / LongRate;
      if (FirstInFirstOut)
        FirstIn.emplace_back(Id, Class);
      else
        Queue.push(entry(Id, "a", Class), At(Now));
    }
    while (Running.size() < Slots) {
      if (FirstInFirstOut) {
        if (FirstIn.empty())
          break;
        Begin(FirstIn.front().first, Now);
        FirstIn.pop_front();
        continue;
      }
      auto Next = Queue.pop(LongRunning < LongLimit, At(Now));
      if (!Next)
        break;
      Begin(Next->Id, Now);
    }
  }
  auto Rank =
      Waits.begin() + static_cast<std::ptrdiff_t>(Waits.size() * 99 / 100);
  std::nth_element(Waits.begin(), Rank, Waits.end());
  return *Rank;
}

// Guards against short work that waits behind long work.
TEST(FairQueueTest, shortWorkDoesNotWaitBehindLong) {
  double Alone = shortWait(false, false);
  double Mixed = shortWait(true, false);
  double FirstIn = shortWait(true, true);
  std::cout << "p99 wait of short work in ms: alone " << Alone
            << ", with long work " << Mixed << ", one FIFO queue " << FirstIn
            << "\n";
  EXPECT_LE(Mixed, 2.0 * Alone);
  EXPECT_GT(FirstIn, 2.0 * Alone);
}

// Guards against requests that wait for a slot they cannot use in time, and
// against a queue that stays closed after the capacity returned.
TEST(FairQueueTest, refusesEarlyByObservedRate) {
  auto Queue = FairQueue::make({}).value();
  TimePoint Now = Start;
  for (std::uint64_t Id = 0; Id < 200; ++Id)
    ASSERT_TRUE(
        std::holds_alternative<PushQueued>(Queue.push(entry(Id, "a"), Now)));
  for (int Count = 0; Count < 100; ++Count) {
    Now += Milliseconds(10);
    EXPECT_TRUE(Queue.pop(true, Now).has_value());
  }
  // 100 entries at 100 a second.
  EXPECT_NEAR(Queue.estimatedWait("a", WorkClass::Short, Now).count(), 1'000,
              100);
  auto Late = Queue.push(
      entry(900, "a", WorkClass::Short, Now + Milliseconds(500)), Now);
  EXPECT_TRUE(std::holds_alternative<PushDeadlineTooShort>(Late));
  auto InTime = Queue.push(
      entry(901, "a", WorkClass::Short, Now + Milliseconds(1'500)), Now);
  EXPECT_TRUE(std::holds_alternative<PushQueued>(InTime));
  // Another account has a share of its own.
  EXPECT_LT(Queue.estimatedWait("b", WorkClass::Short, Now), Milliseconds(100));
  TimePoint Stalled = Now + std::chrono::seconds(30);
  EXPECT_GT(Queue.estimatedWait("a", WorkClass::Short, Stalled),
            std::chrono::seconds(60));
  Now = Start + std::chrono::hours(2);
  EXPECT_EQ(Queue.takeExpired(Now).size(), 101U);
  EXPECT_TRUE(std::holds_alternative<PushQueued>(Queue.push(
      entry(902, "a", WorkClass::Short, Now + Milliseconds(10)), Now)));
}

// Guards against unbounded queues and one account that fills the queue.
TEST(FairQueueTest, boundsEntries) {
  auto Queue = FairQueue::make({3, 2, 1.0}).value();
  Queue.push(entry(1, "a"), Start);
  EXPECT_TRUE(std::holds_alternative<PushInvalidEntry>(
      Queue.push(entry(1, "a"), Start)));
  Queue.push(entry(2, "a", WorkClass::Long), Start);
  EXPECT_TRUE(std::holds_alternative<PushAccountLimitReached>(
      Queue.push(entry(3, "a"), Start)));
  Queue.push(entry(4, "b"), Start);
  EXPECT_TRUE(
      std::holds_alternative<PushQueueFull>(Queue.push(entry(5, "c"), Start)));
}

// Guards against lost or doubled entries for any order of calls.
RC_GTEST_PROP(FairQueueTest, keepsEachEntryOnce,
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
      QueueEntry Item =
          entry(NextId++, std::string(1, static_cast<char>('a' + Choice % 5)),
                Class, Now + Milliseconds(Choice / 70 % 60));
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
  std::size_t Left = Queue.takeExpired(Now).size();
  while (Queue.pop(true, Now))
    ++Left;
  RC_ASSERT(Left == Waiting.size());
  RC_ASSERT(Queue.size() == 0U);
}

// Guards against a changed queue limit that takes effect only at a restart.
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
