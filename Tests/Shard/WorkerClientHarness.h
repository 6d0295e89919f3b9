#pragma once

#include "LoopbackWorker.h"
#include "Net/HttpClient.h"
#include "WorkerClient.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace jayramp::test {

/// A worker client and a worker whose process can be replaced by another one at
/// the same address, over real sockets.
class WorkerClientHarness {
public:
  static constexpr std::int64_t Former = 1000;
  static constexpr std::int64_t Next = 2000;

  WorkerClientHarness() : Client(Loop), Orders(Client) {}

  /// Ends the process that listens; another one listens in its place.
  auto listen(std::int64_t Incarnation) -> void {
    Worker.reset();
    Worker = std::make_unique<LoopbackWorker>(Loop, Port, Incarnation);
  }
  /// Lets another process listen while the one before keeps its connections.
  auto listenBeside(std::int64_t Incarnation) -> void {
    if (Worker) {
      Worker->stopListening();
      Separated.push_back(std::move(Worker));
    }
    listen(Incarnation);
  }
  auto target(std::int64_t Incarnation) const -> shard::WorkerTarget {
    return {"worker", Port.address(), Incarnation};
  }

  /// Sends an order that is meant for the process \p Incarnation.
  auto sendStart(std::int64_t Incarnation, std::uint32_t Index = 0) -> void {
    ++Sent;
    Orders.start(target(Incarnation),
                 LoopbackWorker::startFor(Incarnation, Index), Timeout,
                 [this](shard::OrderReply Reply) {
                   Started.push_back(std::move(Reply));
                 });
  }
  auto sendRenewal(std::int64_t Incarnation) -> void {
    ++Sent;
    Orders.renewLeases(target(Incarnation),
                       LoopbackWorker::renewalFor(Incarnation), Timeout,
                       [this](shard::RenewReply Reply) {
                         Renewed.push_back(std::move(Reply));
                       });
  }
  auto sendStop(std::int64_t Incarnation) -> void {
    ++Sent;
    Orders.stop(target(Incarnation), {{"00000000000000aa", 0, 0, 1}, 1},
                Timeout, [this](shard::OrderReply Reply) {
                  Stopped.push_back(std::move(Reply));
                });
  }

  auto replies() const -> std::size_t {
    return Started.size() + Renewed.size() + Stopped.size();
  }
  /// Runs the loop until each order has had its reply.
  auto awaitAll() -> void {
    const auto Limit = Clock::now() + Milliseconds(10000);
    while (replies() < Sent && Clock::now() < Limit) {
      Loop.context().restart();
      Loop.context().run_one_for(Milliseconds(10));
    }
    ASSERT_EQ(replies(), Sent);
  }
  auto runFor(Milliseconds Duration) -> void {
    Loop.context().restart();
    Loop.context().run_for(Duration);
  }

  auto start(std::int64_t Incarnation) -> shard::OrderReply {
    sendStart(Incarnation);
    awaitAll();
    return Started.back();
  }
  auto renew(std::int64_t Incarnation) -> shard::RenewReply {
    sendRenewal(Incarnation);
    awaitAll();
    return Renewed.back();
  }
  auto stop(std::int64_t Incarnation) -> shard::OrderReply {
    sendStop(Incarnation);
    awaitAll();
    return Stopped.back();
  }

  net::EventLoop Loop;
  net::HttpClient Client;
  platform::WorkerClient Orders;
  LoopbackPort Port;
  std::unique_ptr<LoopbackWorker> Worker; ///< Listens on the port.
  std::vector<std::unique_ptr<LoopbackWorker>> Separated;
  Milliseconds Timeout{2000};
  std::size_t Sent = 0;
  std::vector<shard::OrderReply> Started; ///< Replies, in order of arrival.
  std::vector<shard::RenewReply> Renewed;
  std::vector<shard::OrderReply> Stopped;
};

} // namespace jayramp::test
