#include "Jobs/AsyncWorkerClient.h"

#include "Jobs/EventQueue.h"
#include "Platform/WorkerClient.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <utility>

namespace jayramp {

class AsyncWorkerClient::Pool : public boost::asio::thread_pool {
public:
  using boost::asio::thread_pool::thread_pool;
};

AsyncWorkerClient::AsyncWorkerClient(WorkerClient &Workers, EventQueue &Events,
                                     Milliseconds Timeout, std::size_t Threads)
    : Workers(Workers), Events(Events), Timeout(Timeout),
      Threads(std::make_unique<Pool>(Threads)) {}

AsyncWorkerClient::~AsyncWorkerClient() {
  Threads->stop();
  Threads->join();
}

auto AsyncWorkerClient::control(std::string Address, TaskCall Call,
                                ControlCallback OnDone) -> void {
  boost::asio::post(*Threads, [this, Address = std::move(Address),
                               Call = std::move(Call),
                               OnDone = std::move(OnDone)] {
    auto Reply = Workers.control(Address, Call, Timeout);
    Events.post([OnDone, Reply = std::move(Reply)] { OnDone(Reply); });
  });
}

auto AsyncWorkerClient::status(std::string Address, std::uint64_t Epoch,
                               StatusCallback OnDone) -> void {
  boost::asio::post(*Threads, [this, Address = std::move(Address), Epoch,
                               OnDone = std::move(OnDone)] {
    auto Reply = Workers.status(Address, Epoch, Timeout);
    Events.post([OnDone, Reply = std::move(Reply)] { OnDone(Reply); });
  });
}

} // namespace jayramp
