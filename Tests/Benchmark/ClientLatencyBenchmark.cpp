// Time that HttpWorkerClient adds to a call of a worker, as a ratio to the same
// call written straight to a socket, alternating in the same run.

#include "Base/Metrics.h"
#include "EndToEnd/OpenLoad.h"
#include "EndToEnd/StandIn.h"
#include "Platform/HttpWorkerClient.h"
#include "Platform/RequestAttempt.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdio>
#include <future>
#include <memory>
#include <vector>

namespace jayramp {
namespace {

namespace asio = boost::asio;

constexpr int Calls = 1000;
constexpr std::size_t PayloadBytes = 1000;
constexpr Milliseconds Timeout{1000};

struct Bounds {
  double Median; ///< Most times the median of direct calls.
  double High;   ///< Most times their 99th of 100.
};
constexpr Bounds OwnConnection{5, 5.5};
constexpr Bounds PooledConnection{6, 9};

/// The same request on a socket, kept open or opened for each call.
class DirectCaller {
public:
  DirectCaller(const std::string &Address, bool Keep)
      : Keep(Keep), Socket(Context) {
    auto Colon = Address.find(':');
    Target = {
        asio::ip::make_address(Address.substr(0, Colon)),
        static_cast<unsigned short>(std::stoul(Address.substr(Colon + 1)))};
  }

  auto call() -> bool {
    if (!Socket.is_open()) {
      Socket.connect(Target);
      Socket.set_option(asio::ip::tcp::no_delay(true));
    }
    std::string Request = "POST /v1/requests HTTP/1.1\r\nHost: worker\r\n"
                          "Jayramp-Account: account\r\nJayramp-Key: key\r\n"
                          "Jayramp-Attempt: 3\r\nJayramp-Epoch: 5\r\n"
                          "Jayramp-Deadline-Ms: 1000\r\nContent-Length: " +
                          std::to_string(PayloadBytes) + "\r\n\r\n" +
                          std::string(PayloadBytes, 'x');
    asio::write(Socket, asio::buffer(Request));
    std::string Answer;
    auto Head =
        asio::read_until(Socket, asio::dynamic_buffer(Answer), "\r\n\r\n");
    constexpr std::string_view Name = "Content-Length: ";
    auto Place = Answer.find(Name);
    if (Place == std::string::npos)
      return false;
    std::size_t Whole = Head + std::stoul(Answer.substr(Place + Name.size()));
    if (Answer.size() < Whole)
      asio::read(Socket, asio::dynamic_buffer(Answer),
                 asio::transfer_exactly(Whole - Answer.size()));
    if (!Keep)
      Socket.close();
    return Answer.rfind("HTTP/1.1 200", 0) == 0;
  }

private:
  bool Keep;
  asio::io_context Context;
  asio::ip::tcp::socket Socket;
  asio::ip::tcp::endpoint Target;
};

auto throughClient(HttpWorkerClient &Client, const std::string &Address,
                   bool Idempotent) -> bool {
  auto Ended = std::make_shared<std::promise<bool>>();
  auto Result = Ended->get_future();
  Client.execute({.WorkerAddress = Address,
                  .Account = "account",
                  .Key = "key",
                  .Number = 3,
                  .Epoch = 5,
                  .Timeout = Timeout,
                  .Idempotent = Idempotent,
                  .Payload = std::string(PayloadBytes, 'x')},
                 [Ended](const AttemptOutcome &Outcome) {
                   Ended->set_value(
                       std::holds_alternative<AttemptAnswered>(Outcome));
                 });
  return Result.get();
}

template <typename Function> auto timed(Function Call) -> double {
  TimePoint Sent = Clock::now();
  if (!Call())
    throw std::runtime_error("a call has failed");
  std::chrono::duration<double, std::milli> Took = Clock::now() - Sent;
  return Took.count();
}

/// Prints the figures; true if both ratios are within their bounds.
auto compare(HttpWorkerClient &Client, const std::string &Address,
             bool Idempotent, const Bounds &Most) -> bool {
  DirectCaller Direct(Address, Idempotent);
  std::vector<double> Plain;
  std::vector<double> Added;
  for (int Index = 0; Index < Calls; ++Index) {
    Plain.push_back(timed([&] { return Direct.call(); }));
    Added.push_back(
        timed([&] { return throughClient(Client, Address, Idempotent); }));
  }
  double Median = percentile(Added, 50) / percentile(Plain, 50);
  double High = percentile(Added, 99) / percentile(Plain, 99);
  std::printf("idempotent=%d direct_p50_ms=%.3f client_p50_ms=%.3f ratio=%.2f "
              "direct_p99_ms=%.3f client_p99_ms=%.3f ratio=%.2f\n",
              Idempotent, percentile(Plain, 50), percentile(Added, 50), Median,
              percentile(Plain, 99), percentile(Added, 99), High);
  return Median <= Most.Median && High <= Most.High;
}

} // namespace
} // namespace jayramp

auto main() -> int {
  using namespace jayramp;
  Metrics Registry;
  StandIn Worker = StandIn::startWorkers();
  auto Client = HttpWorkerClient::create(Registry).value();
  bool Fresh = compare(*Client, Worker.address(), false, OwnConnection);
  bool Kept = compare(*Client, Worker.address(), true, PooledConnection);
  return Fresh && Kept ? 0 : 1;
}
