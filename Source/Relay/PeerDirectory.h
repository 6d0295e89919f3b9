#pragma once

#include "Net/EventLoop.h"
#include "Relay/RelayPolicy.h"
#include "Store/RowStore.h"
#include "Store/TableFollower.h"

#include <map>
#include <memory>
#include <string>

namespace jayramp::relay {

/// Tells a relay policy the internal addresses of all entry hosts, which they
/// write to a table of their own when they start.
class PeerDirectory {
public:
  PeerDirectory(net::EventLoop &Loop, store::RowStore &Store,
                RelayPolicy &Policy, std::string Host, std::string Address);
  ~PeerDirectory();
  PeerDirectory(const PeerDirectory &) = delete;
  auto operator=(const PeerDirectory &) -> PeerDirectory & = delete;

  auto start() -> void;
  /// Removes this host from the table.
  auto unregister() -> void;
  /// Internal address of a host; empty if it is not known.
  auto addressOf(const std::string &Name) const -> std::string;

private:
  auto writeOwnRow() -> void;
  auto onRows(const std::vector<store::Row> &Rows) -> void;

  net::EventLoop &Loop;
  store::RowStore &Store;
  RelayPolicy &Policy;
  std::string Host;
  std::string Address;
  std::map<std::string, std::string> AddressByHost;
  std::unique_ptr<store::TableFollower> Follower;
  bool Retired = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  net::EventLoop::TimerHandle Retry;
};

} // namespace jayramp::relay
