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
      : Engine(std::move(Settings), std::move(Inputs), Store, Workers, Counters,
               Events, [this](GangController::StoreTask Task) {
                 boost::asio::post(StoreThread, std::move(Task));
               }) {}
  ~Implementation() { stop(); }
  Implementation(const Implementation &) = delete;
  auto operator=(const Implementation &) -> Implementation & = delete;

  auto start() -> void {
    Loop = std::thread([this] { run(); });
  }

  auto stop() -> void {
    Events.signal().end();
    if (Loop.joinable())
      Loop.join();
    StoreThread.stop();
    StoreThread.join();
  }

  auto pollSoon() -> void {
    Events.post([this] { Engine.pollSoon(); });
  }

private:
  auto run() -> void {
    while (!Events.signal().ended()) {
      for (const auto &Event : Events.take())
        Event();
      Events.signal().waitUntil(Engine.step(Clock::now()));
    }
  }

  EventQueue Events;
  // One thread keeps the order of reads and writes.
  boost::asio::thread_pool StoreThread{1};
  GangController Engine;
  std::thread Loop;
};

GangRunner::GangRunner(Options Settings, GangRunnerInputs Inputs,
                       JobStore &Store, WorkerClient &Workers,
                       Metrics &Counters)
    : Body(std::make_unique<Implementation>(
          std::move(Settings), std::move(Inputs), Store, Workers, Counters)) {}

GangRunner::~GangRunner() = default;

auto GangRunner::start() -> void { Body->start(); }

auto GangRunner::stop() -> void { Body->stop(); }

auto GangRunner::pollSoon() -> void { Body->pollSoon(); }

} // namespace jayramp
