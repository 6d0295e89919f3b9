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

constexpr std::size_t EntryHostCount = 2;
constexpr std::size_t WorkerCount = 4;
constexpr std::size_t SlotsPerWorker = 8;
constexpr double SlotCount = WorkerCount * SlotsPerWorker;
constexpr Milliseconds ShortRunTime{20};
constexpr Milliseconds LongRunTime{2000};
// Shares of the total slot time that the requests of each class use, 80% in
// all.
constexpr double ShortLoadShare = 0.5;
constexpr double LongLoadShare = 0.3;
constexpr Milliseconds PhaseDuration{20000};
constexpr Milliseconds Deadline{30000};
constexpr std::size_t ShortThreads = 128;
constexpr std::size_t LongThreads = 48;
// Short requests that are due earlier are not measured, because long requests
// do not occupy slots from the start.
constexpr Milliseconds WarmUpTime{3000};

/// Sends the short or long request \p Index on connection \p Thread and returns
/// whether it was answered.
using SendFunction =
    std::function<bool(std::size_t Thread, std::size_t Index, bool IsLong)>;

struct PhaseResult {
  std::vector<double> ShortLatenciesMs;
  int UnansweredRequests = 0;
  std::size_t LongRequestsSent = 0;
};

/// Sends short requests, with \p WithLongRequests also long ones, at Poisson
/// arrival times that depend only on \p Seed.
auto runPhase(unsigned Seed, bool WithLongRequests,
              const SendFunction &SendRequest) -> PhaseResult {
  std::mt19937 Random(Seed);
  auto ShortArrivals = poissonArrivals(
      Random, SlotCount * ShortLoadShare * 1000.0 / ShortRunTime.count(),
      Milliseconds(0), PhaseDuration);
  auto LongArrivals = poissonArrivals(
      Random, SlotCount * LongLoadShare * 1000.0 / LongRunTime.count(),
      Milliseconds(0), PhaseDuration);
  PhaseResult Result;
  std::mutex Mutex;
  TimePoint Start = Clock::now() + Milliseconds(100);
  std::thread LongLoadThread;
  if (WithLongRequests) {
    Result.LongRequestsSent = LongArrivals.size();
    LongLoadThread = std::thread([&] {
      runOpenLoopLoad(LongArrivals, LongThreads, Start,
                      [&](std::size_t Thread, std::size_t Index, TimePoint) {
                        bool Answered =
                            SendRequest(ShortThreads + Thread, Index, true);
                        std::lock_guard Lock(Mutex);
                        Result.UnansweredRequests += Answered ? 0 : 1;
                      });
    });
  }
  runOpenLoopLoad(ShortArrivals, ShortThreads, Start,
                  [&](std::size_t Thread, std::size_t Index, TimePoint Due) {
                    bool Answered = SendRequest(Thread, Index, false);
                    std::chrono::duration<double, std::milli> Latency =
                        Clock::now() - Due;
                    std::lock_guard Lock(Mutex);
                    Result.UnansweredRequests += Answered ? 0 : 1;
                    if (Due - Start >= WarmUpTime)
                      Result.ShortLatenciesMs.push_back(Latency.count());
                  });
  if (LongLoadThread.joinable())
    LongLoadThread.join();
  return Result;
}

auto makeRequest(const std::string &Key, bool IsLong, std::size_t Index)
    -> v1::SubmitRequest {
  auto Request =
      makeTestRequest(Key, true, IsLong ? LongRunTime : ShortRunTime, Deadline);
  // makeTestRequest() declares the class short. Every second long request keeps
  // this wrong declaration.
  if (IsLong && Index % 2 == 0)
    Request.set_work_class(v1::LONG);
  return Request;
}

/// The baseline: a dispatcher with a single queue in order of arrival for the
/// slots of all workers and without work classes.
class FifoDispatcher {
public:
  explicit FifoDispatcher(const TestCluster &Cluster) {
    for (std::size_t Slot = 0; Slot < WorkerCount * SlotsPerWorker; ++Slot)
      Threads.emplace_back(
          [this, Address = Cluster.workerAddress(Slot % WorkerCount)] {
            runSlot(Address);
          });
  }
  ~FifoDispatcher() {
    {
      std::lock_guard Lock(Mutex);
      Stopping = true;
    }
    QueueChanged.notify_all();
    for (auto &Thread : Threads)
      Thread.join();
  }
  FifoDispatcher(const FifoDispatcher &) = delete;
  auto operator=(const FifoDispatcher &) -> FifoDispatcher & = delete;

  auto submitAndWait(const v1::SubmitRequest &Request) -> bool {
    QueuedRequest Queued{&Request, false, false};
    std::unique_lock Lock(Mutex);
    Queue.push_back(&Queued);
    QueueChanged.notify_all();
    RequestFinished.wait(Lock, [&Queued] { return Queued.Done; });
    return Queued.Succeeded;
  }

private:
  struct QueuedRequest {
    const v1::SubmitRequest *Request;
    bool Done;
    bool Succeeded;
  };

  auto runSlot(const std::string &Address) -> void {
    HttpTestClient Client(Address);
    Client.addHeader("Jayramp-Account", "alpha");
    Client.addHeader("Jayramp-Key", "fifo");
    Client.addHeader("Jayramp-Attempt", "1");
    Client.addHeader("Jayramp-Epoch", "1000000");
    std::unique_lock Lock(Mutex);
    for (;;) {
      QueueChanged.wait(Lock, [this] { return Stopping || !Queue.empty(); });
      if (Queue.empty())
        return;
      QueuedRequest *Queued = Queue.front();
      Queue.pop_front();
      Lock.unlock();
      bool Succeeded = false;
      try {
        Succeeded =
            Client.call("POST", "/v1/requests", Queued->Request->payload())
                .Status == 200;
      } catch (const std::runtime_error &) {
      }
      Lock.lock();
      Queued->Done = true;
      Queued->Succeeded = Succeeded;
      RequestFinished.notify_all();
    }
  }

  std::mutex Mutex;
  std::condition_variable QueueChanged;
  std::condition_variable RequestFinished;
  std::deque<QueuedRequest *> Queue;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

/// Prints the figures of a phase and returns the 99th percentile of the short
/// requests' latencies in ms.
auto printAndGetP99(const char *Name, const PhaseResult &Result) -> double {
  double P99Ms = percentile(Result.ShortLatenciesMs, 99);
  std::cout << Name << ": short=" << Result.ShortLatenciesMs.size()
            << " long=" << Result.LongRequestsSent
            << " p50_ms=" << percentile(Result.ShortLatenciesMs, 50)
            << " p99_ms=" << P99Ms
            << " not_answered=" << Result.UnansweredRequests << std::endl;
  return P99Ms;
}

// Guards against short requests that wait behind long ones (head-of-line
// blocking), including long ones that their callers declared short. The
// baseline must show such blocking under the same load.
TEST(HeadOfLineTest, shortWorkHardlyWaitsBehindLongWork) {
  unsigned Seed = chooseRandomSeed();
  TestCluster::Options ClusterOptions;
  ClusterOptions.EntryHosts = EntryHostCount;
  ClusterOptions.Workers = WorkerCount;
  ClusterOptions.WorkersPerRack = 1;
  ClusterOptions.WorkerArguments = {"--slots", std::to_string(SlotsPerWorker)};
  ClusterOptions.Configuration =
      R"({"accounts":[{"name":"alpha","request_share":100}],)"
      R"("short_limit_ms":250,"long_slot_percent":40,"queue_limit":100000})";
  auto Cluster = TestCluster::start(ClusterOptions);
  std::vector<HttpTestClient> Clients;
  for (std::size_t Thread = 0; Thread < ShortThreads + LongThreads; ++Thread)
    Clients.emplace_back(Cluster.entryAddress(Thread % EntryHostCount));
  std::string Phase = "alone";
  SendFunction SendThroughEntryHosts = [&](std::size_t Thread,
                                           std::size_t Index, bool IsLong) {
    std::string Key =
        Phase + (IsLong ? "-long-" : "-short-") + std::to_string(Index);
    auto Outcome = submitRequest(Clients[Thread],
                                 makeRequest(Key, IsLong, Index), Deadline * 2);
    return Outcome && Outcome->outcome() == v1::ANSWERED;
  };
  auto Alone = runPhase(Seed, false, SendThroughEntryHosts);
  Phase = "mixed";
  auto Mixed = runPhase(Seed, true, SendThroughEntryHosts);
  PhaseResult Fifo;
  {
    FifoDispatcher Dispatcher(Cluster);
    Fifo =
        runPhase(Seed, true, [&](std::size_t, std::size_t Index, bool IsLong) {
          return Dispatcher.submitAndWait(makeRequest("fifo", IsLong, Index));
        });
  }
  double AloneP99Ms = printAndGetP99("alone", Alone);
  double MixedP99Ms = printAndGetP99("mixed", Mixed);
  double FifoP99Ms = printAndGetP99("fifo", Fifo);
  EXPECT_EQ(Alone.UnansweredRequests, 0);
  EXPECT_EQ(Mixed.UnansweredRequests, 0);
  EXPECT_LE(MixedP99Ms, 2.0 * AloneP99Ms);
  EXPECT_GT(FifoP99Ms, 2.0 * AloneP99Ms)
      << "the FIFO baseline shows no head-of-line blocking, so the load is too "
         "low for this test";
}

} // namespace
} // namespace jayramp
