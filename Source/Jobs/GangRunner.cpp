#include "Jobs/GangRunner.h"

#include "Jobs/EventQueue.h"
#include "Jobs/GangController.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <thread>
#include <utility>

namespace jayramp {

class GangRunner::Implementation {
public:
  Implementation(Options Settings, GangRunnerInputs Inputs, JobStore &Store,
                 WorkerClient &Workers, Metrics &Counters)
      : Controller(std::move(Settings), std::move(Inputs), Store, Workers,
                   Counters, Events, [this](GangController::StoreTask Task) {
                     boost::asio::post(StoreThread, std::move(Task));
                   }) {}
  ~Implementation() { stop(); }
  Implementation(const Implementation &) = delete;
  auto operator=(const Implementation &) -> Implementation & = delete;

  auto start() -> void {
    EventThread = std::thread([this] { runEventLoop(); });
  }

  auto stop() -> void {
    Events.signal().shutDown();
    if (EventThread.joinable())
      EventThread.join();
    StoreThread.stop();
    StoreThread.join();
  }

  auto pollSoon() -> void {
    Events.post([this] { Controller.pollSoon(); });
  }

private:
  auto runEventLoop() -> void {
    while (!Events.signal().isShutDown()) {
      for (const auto &Event : Events.takeAll())
        Event();
      Events.signal().waitUntil(Controller.runDueWork(Clock::now()));
    }
  }

  EventQueue Events;
  // A single thread, so that reads and writes keep their order.
  boost::asio::thread_pool StoreThread{1};
  GangController Controller;
  std::thread EventThread;
};

GangRunner::GangRunner(Options Settings, GangRunnerInputs Inputs,
                       JobStore &Store, WorkerClient &Workers,
                       Metrics &Counters)
    : Impl(std::make_unique<Implementation>(
          std::move(Settings), std::move(Inputs), Store, Workers, Counters)) {}

GangRunner::~GangRunner() = default;

auto GangRunner::start() -> void { Impl->start(); }

auto GangRunner::stop() -> void { Impl->stop(); }

auto GangRunner::pollSoon() -> void { Impl->pollSoon(); }

} // namespace jayramp
