// Compares the latency of worker calls through HttpWorkerClient with the
// latency of the same calls written directly to a socket. The two kinds of call
// alternate within one run. Exits with 1 if a ratio is above its limit.

#include "Base/Metrics.h"
#include "EndToEnd/OpenLoopLoad.h"
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

constexpr int CallCount = 1000;
constexpr std::size_t PayloadBytes = 1000;
constexpr Milliseconds Timeout{1000};

/// Highest allowed ratios of the latency through the client to that of direct
/// calls.
struct RatioLimits {
  double Median; ///< Ratio of the medians.
  double P99;    ///< Ratio of the 99th percentiles.
};
// HttpWorkerClient opens a connection for each non-idempotent request and
// reuses pooled connections for idempotent ones.
constexpr RatioLimits NewConnectionLimits{5, 5.5};
constexpr RatioLimits PooledConnectionLimits{6, 9};

/// Sends the request directly on a socket, which it keeps open or opens anew
/// for each call.
class DirectCaller {
public:
  DirectCaller(const std::string &Address, bool KeepOpen)
      : KeepOpen(KeepOpen), Socket(Context) {
    auto Colon = Address.find(':');
    Target = {
        asio::ip::make_address(Address.substr(0, Colon)),
        static_cast<unsigned short>(std::stoul(Address.substr(Colon + 1)))};
  }

  /// Returns whether the response has status 200.
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
    std::string Response;
    auto HeaderSize =
        asio::read_until(Socket, asio::dynamic_buffer(Response), "\r\n\r\n");
    constexpr std::string_view Name = "Content-Length: ";
    auto LengthField = Response.find(Name);
    if (LengthField == std::string::npos)
      return false;
    std::size_t ResponseSize =
        HeaderSize + std::stoul(Response.substr(LengthField + Name.size()));
    if (Response.size() < ResponseSize)
      asio::read(Socket, asio::dynamic_buffer(Response),
                 asio::transfer_exactly(ResponseSize - Response.size()));
    if (!KeepOpen)
      Socket.close();
    return Response.rfind("HTTP/1.1 200", 0) == 0;
  }

private:
  bool KeepOpen;
  asio::io_context Context;
  asio::ip::tcp::socket Socket;
  asio::ip::tcp::endpoint Target;
};

/// Returns whether the worker answered the request sent through \p Client.
auto callThroughClient(HttpWorkerClient &Client, const std::string &Address,
                       bool Idempotent) -> bool {
  auto Completion = std::make_shared<std::promise<bool>>();
  auto Result = Completion->get_future();
  Client.execute({.WorkerAddress = Address,
                  .Account = "account",
                  .Key = "key",
                  .AttemptNumber = 3,
                  .Epoch = 5,
                  .Timeout = Timeout,
                  .Idempotent = Idempotent,
                  .Payload = std::string(PayloadBytes, 'x')},
                 [Completion](const AttemptOutcome &Outcome) {
                   Completion->set_value(
                       std::holds_alternative<AttemptSucceeded>(Outcome));
                 });
  return Result.get();
}

/// Returns the duration of \p Call in milliseconds.
///
/// \throws std::runtime_error if \p Call returns false.
template <typename Function> auto timeCall(Function Call) -> double {
  TimePoint Start = Clock::now();
  if (!Call())
    throw std::runtime_error("a benchmark call to the stand-in worker failed");
  std::chrono::duration<double, std::milli> Duration = Clock::now() - Start;
  return Duration.count();
}

/// Prints the latencies and their ratios. Returns whether both ratios are
/// within \p Limits.
auto compareLatencies(HttpWorkerClient &Client, const std::string &Address,
                      bool Idempotent, const RatioLimits &Limits) -> bool {
  DirectCaller Direct(Address, Idempotent);
  std::vector<double> DirectTimes;
  std::vector<double> ClientTimes;
  for (int Index = 0; Index < CallCount; ++Index) {
    DirectTimes.push_back(timeCall([&] { return Direct.call(); }));
    ClientTimes.push_back(timeCall(
        [&] { return callThroughClient(Client, Address, Idempotent); }));
  }
  double Median = percentile(ClientTimes, 50) / percentile(DirectTimes, 50);
  double P99 = percentile(ClientTimes, 99) / percentile(DirectTimes, 99);
  std::printf("idempotent=%d direct_p50_ms=%.3f client_p50_ms=%.3f ratio=%.2f "
              "direct_p99_ms=%.3f client_p99_ms=%.3f ratio=%.2f\n",
              Idempotent, percentile(DirectTimes, 50),
              percentile(ClientTimes, 50), Median, percentile(DirectTimes, 99),
              percentile(ClientTimes, 99), P99);
  return Median <= Limits.Median && P99 <= Limits.P99;
}

} // namespace
} // namespace jayramp

auto main() -> int {
  using namespace jayramp;
  Metrics Registry;
  StandIn Worker = StandIn::startWorkers();
  auto Client = HttpWorkerClient::create(Registry).value();
  bool NewConnectionPassed =
      compareLatencies(*Client, Worker.address(), false, NewConnectionLimits);
  bool PooledConnectionPassed =
      compareLatencies(*Client, Worker.address(), true, PooledConnectionLimits);
  return NewConnectionPassed && PooledConnectionPassed ? 0 : 1;
}
