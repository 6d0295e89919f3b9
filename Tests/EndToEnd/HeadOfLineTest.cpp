#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/OpenLoopLoad.h"
#include "EndToEnd/RequestCaller.h"
#include "EndToEnd/TestCluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <mutex>
#include <thread>

namespace jayramp {
namespace {

constexpr std::size_t EntryHosts = 2;
constexpr std::size_t Workers = 4;
constexpr std::size_t SlotsEach = 8;
constexpr double Slots = Workers * SlotsEach;
constexpr Milliseconds ShortRun{20};
constexpr Milliseconds LongRun{2000};
// 80% load of the slots in all.
constexpr double ShortLoad = 0.5;
constexpr double LongLoad = 0.3;
constexpr Milliseconds PhaseTime{20000};
constexpr Milliseconds Deadline{30000};
constexpr std::size_t ShortThreads = 128;
constexpr std::size_t LongThreads = 48;
// Short requests of the first seconds are not counted: long work must be
// running first.
constexpr Milliseconds WarmUp{3000};

/// Sends a request and returns whether it was answered.
using Send =
    std::function<bool(std::size_t Thread, std::size_t Index, bool IsLong)>;

struct PhaseResult {
  std::vector<double> ShortMs;
  int NotAnswered = 0;
  std::size_t LongSent = 0;
};

auto runPhase(unsigned Seed, bool WithLong, const Send &Call) -> PhaseResult {
  std::mt19937 Random(Seed);
  auto Short =
      poissonArrivals(Random, Slots * ShortLoad * 1000.0 / ShortRun.count(),
                      Milliseconds(0), PhaseTime);
  auto Long =
      poissonArrivals(Random, Slots * LongLoad * 1000.0 / LongRun.count(),
                      Milliseconds(0), PhaseTime);
  PhaseResult Result;
  std::mutex Mutex;
  TimePoint Start = Clock::now() + Milliseconds(100);
  std::thread LongLoadThread;
  if (WithLong) {
    Result.LongSent = Long.size();
    LongLoadThread = std::thread([&] {
      runOpenLoopLoad(Long, LongThreads, Start,
                      [&](std::size_t Thread, std::size_t Index, TimePoint) {
                        bool Answered =
                            Call(ShortThreads + Thread, Index, true);
                        std::lock_guard Lock(Mutex);
                        Result.NotAnswered += Answered ? 0 : 1;
                      });
    });
  }
  runOpenLoopLoad(Short, ShortThreads, Start,
                  [&](std::size_t Thread, std::size_t Index, TimePoint Due) {
                    bool Answered = Call(Thread, Index, false);
                    std::chrono::duration<double, std::milli> Taken =
                        Clock::now() - Due;
                    std::lock_guard Lock(Mutex);
                    Result.NotAnswered += Answered ? 0 : 1;
                    if (Due - Start >= WarmUp)
                      Result.ShortMs.push_back(Taken.count());
                  });
  if (LongLoadThread.joinable())
    LongLoadThread.join();
  return Result;
}

auto makeWork(const std::string &Key, bool IsLong, std::size_t Index)
    -> v1::SubmitRequest {
  auto Request =
      makeTestRequest(Key, true, IsLong ? LongRun : ShortRun, Deadline);
  // Every second long request is declared short.
  if (IsLong && Index % 2 == 0)
    Request.set_work_class(v1::LONG);
  return Request;
}

/// One queue in order of arrival for all slots, without classes.
class FifoDispatcher {
public:
  explicit FifoDispatcher(const TestCluster &Cluster) {
    for (std::size_t Slot = 0; Slot < Workers * SlotsEach; ++Slot)
      Threads.emplace_back([this, Address = Cluster.workerAddress(
                                      Slot % Workers)] { serve(Address); });
  }
  ~FifoDispatcher() {
    {
      std::lock_guard Lock(Mutex);
      Ended = true;
    }
    Changed.notify_all();
    for (auto &Thread : Threads)
      Thread.join();
  }
  FifoDispatcher(const FifoDispatcher &) = delete;
  auto operator=(const FifoDispatcher &) -> FifoDispatcher & = delete;

  auto call(const v1::SubmitRequest &Request) -> bool {
    Item Entry{&Request, false, false};
    std::unique_lock Lock(Mutex);
    Queue.push_back(&Entry);
    Changed.notify_all();
    Finished.wait(Lock, [&Entry] { return Entry.Done; });
    return Entry.Ok;
  }

private:
  struct Item {
    const v1::SubmitRequest *Request;
    bool Done;
    bool Ok;
  };

  auto serve(const std::string &Address) -> void {
    HttpTestClient Client(Address);
    Client.addHeader("Jayramp-Account", "alpha");
    Client.addHeader("Jayramp-Key", "fifo");
    Client.addHeader("Jayramp-Attempt", "1");
    Client.addHeader("Jayramp-Epoch", "1000000");
    std::unique_lock Lock(Mutex);
    for (;;) {
      Changed.wait(Lock, [this] { return Ended || !Queue.empty(); });
      if (Queue.empty())
        return;
      Item *Entry = Queue.front();
      Queue.pop_front();
      Lock.unlock();
      bool Ok = false;
      try {
        Ok = Client.call("POST", "/v1/requests", Entry->Request->payload())
                 .Status == 200;
      } catch (const std::runtime_error &) {
      }
      Lock.lock();
      Entry->Done = true;
      Entry->Ok = Ok;
      Finished.notify_all();
    }
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::condition_variable Finished;
  std::deque<Item *> Queue;
  bool Ended = false;
  std::vector<std::thread> Threads;
};

auto print(const char *Name, const PhaseResult &Result) -> double {
  double Worst = percentile(Result.ShortMs, 99);
  std::cout << Name << ": short=" << Result.ShortMs.size()
            << " long=" << Result.LongSent
            << " p50_ms=" << percentile(Result.ShortMs, 50)
            << " p99_ms=" << Worst << " not_answered=" << Result.NotAnswered
            << std::endl;
  return Worst;
}

// Guards against short requests that wait behind long ones, also behind those
// that were declared short.
TEST(HeadOfLineTest, shortWorkHardlyWaitsBehindLongWork) {
  unsigned Seed = chooseRandomSeed();
  TestCluster::Options Wanted;
  Wanted.EntryHosts = EntryHosts;
  Wanted.Workers = Workers;
  Wanted.WorkersPerRack = 1;
  Wanted.WorkerArguments = {"--slots", std::to_string(SlotsEach)};
  Wanted.Configuration =
      R"({"accounts":[{"name":"alpha","request_share":100}],)"
      R"("short_limit_ms":250,"long_slot_percent":40,"queue_limit":100000})";
  auto Cluster = TestCluster::start(Wanted);
  std::vector<HttpTestClient> Clients;
  for (std::size_t Thread = 0; Thread < ShortThreads + LongThreads; ++Thread)
    Clients.emplace_back(Cluster.entryAddress(Thread % EntryHosts));
  std::string Phase = "alone";
  Send Routed = [&](std::size_t Thread, std::size_t Index, bool IsLong) {
    std::string Key =
        Phase + (IsLong ? "-long-" : "-short-") + std::to_string(Index);
    auto Outcome = submitRequest(Clients[Thread], makeWork(Key, IsLong, Index),
                                 Deadline * 2);
    return Outcome && Outcome->outcome() == v1::ANSWERED;
  };
  auto Alone = runPhase(Seed, false, Routed);
  Phase = "mixed";
  auto Mixed = runPhase(Seed, true, Routed);
  PhaseResult Fifo;
  {
    FifoDispatcher Dispatcher(Cluster);
    Fifo =
        runPhase(Seed, true, [&](std::size_t, std::size_t Index, bool IsLong) {
          return Dispatcher.call(makeWork("fifo", IsLong, Index));
        });
  }
  double AloneMs = print("alone", Alone);
  double MixedMs = print("mixed", Mixed);
  double FifoMs = print("fifo", Fifo);
  EXPECT_EQ(Alone.NotAnswered, 0);
  EXPECT_EQ(Mixed.NotAnswered, 0);
  EXPECT_LE(MixedMs, 2.0 * AloneMs);
  EXPECT_GT(FifoMs, 2.0 * AloneMs) << "the baseline shows no blocking";
}

} // namespace
} // namespace jayramp
