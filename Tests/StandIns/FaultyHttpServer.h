#pragma once

#include "StandInAnswer.h"
#include "StandInRequest.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace web::json {
class value;
} // namespace web::json

namespace jayramp {

/// An HTTP/1.1 server that can inject faults such as delayed, lost or truncated
/// responses. It uses plain sockets because the faults need control of single
/// connections and bytes. All work runs on the one thread of its io_context.
class FaultyHttpServer {
public:
  /// Sends the response to a request.
  using Reply = std::function<void(StandInAnswer)>;
  /// Carries out a request. The handler may call \p Reply later, after it has
  /// returned.
  using Handler = std::function<void(const StandInRequest &, Reply)>;

  struct Settings {
    boost::asio::ip::tcp::endpoint Endpoint;
    std::size_t ConnectionLimit = SIZE_MAX;
    std::uint32_t Seed = 1;
  };

  /// Starts to listen. Throws boost::system::system_error if that fails.
  /// \p ControlHandler handles the paths /control and /record, to which no
  /// fault applies; \p ServiceHandler handles all other paths.
  FaultyHttpServer(boost::asio::io_context &Context, const Settings &Options,
                   Handler ServiceHandler, Handler ControlHandler);
  ~FaultyHttpServer();
  FaultyHttpServer(const FaultyHttpServer &) = delete;
  auto operator=(const FaultyHttpServer &) -> FaultyHttpServer & = delete;

  /// Returns the address and port that the server listens on.
  auto endpoint() const -> boost::asio::ip::tcp::endpoint;

  /// Sets the fault \p Name, as listed in README.md, to \p Value. Returns false
  /// if there is no such fault; throws web::json::json_exception if the type of
  /// \p Value is wrong.
  auto setFault(const std::string &Name, const web::json::value &Value) -> bool;

  /// Returns the highest number of simultaneous service connections since the
  /// last reset.
  auto peakConnections() const -> std::size_t { return PeakConnections; }
  /// Returns the number of connections that carried their first service request
  /// since the last reset.
  auto totalConnections() const -> std::size_t { return TotalConnections; }
  /// Returns the number of responses dropped by the fault `lose_answers` since
  /// the last reset.
  auto lostAnswers() const -> std::uint64_t { return LostAnswers; }
  /// Returns the number of requests dropped by the fault `down` since the last
  /// reset.
  auto downCalls() const -> std::uint64_t { return DownCalls; }
  /// Resets the four counters above. The peak restarts at the current number of
  /// service connections.
  auto resetRecord() -> void;

private:
  class Connection;
  friend class Connection;
  using ConnectionPointer = std::shared_ptr<Connection>;

  auto accept() -> void;
  /// Counts a new service connection. Returns whether it exceeds the limit.
  auto countServiceConnection() -> bool;
  /// Returns true with the given probability, from the seeded generator.
  auto shouldInjectFault(double Probability) -> bool;
  /// Runs \p Action at once, or when the fault `freeze` ends.
  auto runWhenNotFrozen(std::function<void()> Action) -> void;
  /// Runs \p Action after \p DelayMs; at once if the delay is not positive.
  auto runAfter(std::int64_t DelayMs, std::function<void()> Action) -> void;
  auto setSilent(bool Value) -> void;
  auto setFrozen(bool Value) -> void;

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::size_t ConnectionLimit;
  Handler ServiceHandler;
  Handler ControlHandler;
  std::mt19937 Generator;
  std::set<ConnectionPointer> Connections;
  /// Actions that wait for the end of the fault `freeze`.
  std::vector<std::function<void()>> DeferredActions;

  std::int64_t DelayMs = 0;
  double LoseAnswers = 0; ///< Probability.
  double CutAnswers = 0;  ///< Probability.
  bool ChunkedAnswers = false;
  bool Down = false;
  bool Silent = false;
  bool Frozen = false;

  std::size_t ServiceConnections = 0;
  std::size_t PeakConnections = 0;
  std::size_t TotalConnections = 0;
  std::uint64_t LostAnswers = 0;
  std::uint64_t DownCalls = 0;
};

} // namespace jayramp
