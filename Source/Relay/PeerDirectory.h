#pragma once

#include "Net/EventLoop.h"
#include "Relay/RelayPolicy.h"
#include "Store/RowStore.h"
#include "Store/TableFollower.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jayramp::relay {

/// Registers this entry host in the store's table of entry hosts and keeps a
/// relay policy up to date with the internal addresses in that table.
class PeerDirectory {
public:
  PeerDirectory(net::EventLoop &Loop, store::RowStore &Store,
                RelayPolicy &Policy, std::string Host, std::string Address,
                double CpuShare);
  ~PeerDirectory();
  PeerDirectory(const PeerDirectory &) = delete;
  auto operator=(const PeerDirectory &) -> PeerDirectory & = delete;

  /// Registers this host and starts to follow the table.
  auto start() -> void;
  /// Removes this host from the table; called when the process stops.
  auto unregister() -> void;
  /// Returns the internal address ("ip:port") of the host called \p Name, or an
  /// empty string if the host is unknown.
  auto addressOf(const std::string &Name) const -> std::string;
  /// Returns how many of the known hosts are better suited than this one to own
  /// \p Shard: those with a larger CPU share and, among equal ones, those that
  /// a hash of host and shard puts first.
  auto rankForShard(const std::string &Shard) const -> std::size_t;
  /// Returns the internal address and the CPU share, in cores, of each other
  /// host, those with the largest share first. A host that was lost without a
  /// planned stop is still listed.
  auto peersByCpuShare() const -> std::vector<std::pair<std::string, double>>;

private:
  struct Peer {
    std::string Address;
    double CpuShare = 0; ///< 0 if unknown.
  };

  static auto parsePeer(const std::string &Value) -> Peer;
  auto registerHost() -> void;
  auto applyRows(const std::vector<store::Row> &Rows) -> void;

  net::EventLoop &Loop;
  store::RowStore &Store;
  RelayPolicy &Policy;
  std::string Host;
  std::string Address;
  double CpuShare;
  std::map<std::string, Peer> PeersByHost;
  std::unique_ptr<store::TableFollower> Follower;
  bool Unregistered = false;
  /// Copied into callbacks; the destructor sets it to false, so that later
  /// callbacks have no effect.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  net::EventLoop::TimerHandle RetryTimer;
};

} // namespace jayramp::relay
