#pragma once

#include "Http.h"

#include <boost/asio/ip/tcp.hpp>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

/// Serves HTTP/1.1 on a port of 127.0.0.1 with one thread for each connection.
/// Each open() stands for a new process at the same address: no request on a
/// connection of a former one reaches its handler. Never destroyed, because its
/// threads use it until the process ends.
class HttpServer {
public:
  HttpServer();

  /// Returns the address as "ip:port".
  auto address() const -> std::string;
  /// Accepts connections, whose requests all go to \p Next, and resets those
  /// that were opened earlier when a request arrives on them.
  auto open(HttpHandler Next) -> void;
  /// Ends a process on a machine that runs on: resets all connections, also
  /// those with a request in progress, and refuses further ones.
  auto close() -> void;
  /// Ends the machine: nothing is answered, reset or refused any more. New
  /// connections wait for the next process.
  auto suspend() -> void;

private:
  auto listen() -> void;
  auto accept() -> void;
  auto serve(int Connection) -> void;
  auto answerRequests(boost::asio::ip::tcp::socket &Socket) -> void;
  auto isPresentProcess(std::uint64_t Number) -> bool;

  unsigned Port;
  int Listener = -1; ///< -1 while it is closed.
  std::jthread Acceptor;
  std::mutex Mutex; ///< Guards all members below.
  std::condition_variable Opened;
  std::set<int> Connections;
  HttpHandler Handler;
  std::uint64_t OpenCount = 0;
  bool IsSuspended = false;
};

} // namespace review
