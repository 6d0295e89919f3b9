#include "Relay/PeerDirectory.h"

#include "Base/EventLog.h"
#include "Relay/HostTable.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <tuple>
#include <utility>

namespace jayramp::relay {

namespace {

constexpr Milliseconds WriteTimeout{1200};
constexpr Milliseconds RetryDelay{300};
constexpr store::FollowerTiming HostFollowerTiming{
    Milliseconds{5000}, Milliseconds{500}, Milliseconds{500}};

} // namespace

PeerDirectory::PeerDirectory(net::EventLoop &Loop, store::RowStore &Store,
                             RelayPolicy &Policy, std::string Host,
                             std::string Address, double CpuShare)
    : Loop(Loop), Store(Store), Policy(Policy), Host(std::move(Host)),
      Address(std::move(Address)), CpuShare(CpuShare) {}

PeerDirectory::~PeerDirectory() { *Alive = false; }

auto PeerDirectory::start() -> void {
  registerHost();
  Follower = std::make_unique<store::TableFollower>(
      Loop, Store, HostTable, std::vector<std::string>{""}, HostFollowerTiming,
      store::TableFollower::Observer{
          [this](const std::vector<store::Row> &Snapshot) {
            PeersByHost.clear();
            applyRows(Snapshot);
          },
          [this](const std::vector<store::Row> &Changed) {
            applyRows(Changed);
          },
          [](Milliseconds) {}});
  Follower->start();
}

auto PeerDirectory::unregister() -> void {
  Unregistered = true;
  store::RowTransaction Change;
  Change.Removals.push_back({HostTable, {}, Host});
  // No retry: peers stop using an address that does not answer.
  Store.transact(Change, WriteTimeout,
                 [](const store::TransactionOutcome &) {});
}

auto PeerDirectory::addressOf(const std::string &Name) const -> std::string {
  const auto Found = PeersByHost.find(Name);
  return Found == PeersByHost.end() ? std::string() : Found->second.Address;
}

auto PeerDirectory::rankForShard(const std::string &Shard) const
    -> std::size_t {
  // Larger keys come first.
  const auto KeyOf = [&](const std::string &Name, double Share) {
    return std::tuple(Share, std::hash<std::string>{}(Name + Shard), Name);
  };
  const auto Own = KeyOf(Host, CpuShare);
  return static_cast<std::size_t>(std::count_if(
      PeersByHost.begin(), PeersByHost.end(), [&](const auto &Item) {
        return Item.first != Host &&
               KeyOf(Item.first, Item.second.CpuShare) > Own;
      }));
}

auto PeerDirectory::peersByCpuShare() const
    -> std::vector<std::pair<std::string, double>> {
  std::vector<std::pair<std::string, double>> Peers;
  for (const auto &[Name, Each] : PeersByHost)
    if (Name != Host)
      Peers.emplace_back(Each.Address, Each.CpuShare);
  std::stable_sort(Peers.begin(), Peers.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.second > Right.second;
                   });
  return Peers;
}

auto PeerDirectory::parsePeer(const std::string &Value) -> Peer {
  const auto Space = Value.find(' ');
  if (Space == std::string::npos)
    return {Value, 0};
  return {Value.substr(0, Space),
          std::strtod(Value.c_str() + Space + 1, nullptr)};
}

auto PeerDirectory::registerHost() -> void {
  store::RowTransaction Change;
  Change.Writes.push_back(
      {{HostTable, {}, Host}, Address + " " + std::to_string(CpuShare)});
  Store.transact(
      Change, WriteTimeout,
      [this, Alive = Alive](const store::TransactionOutcome &Outcome) {
        if (!*Alive ||
            std::holds_alternative<store::TransactionCommitted>(Outcome))
          return;
        logEvent(LogLevel::Warning, "host-row-not-written", {});
        RetryTimer = Loop.after(RetryDelay, [this] { registerHost(); });
      });
}

auto PeerDirectory::applyRows(const std::vector<store::Row> &Rows) -> void {
  for (const auto &Row : Rows) {
    // An earlier process on this host removed the row after this process had
    // written it.
    if (Row.Deleted && Row.Key.Key == Host && !Unregistered)
      registerHost();
    if (Row.Deleted)
      PeersByHost.erase(Row.Key.Key);
    else
      PeersByHost[Row.Key.Key] = parsePeer(Row.Value);
  }
  std::vector<std::string> Addresses;
  for (const auto &[Name, Each] : PeersByHost)
    Addresses.push_back(Each.Address);
  Policy.setHosts(std::move(Addresses));
}

} // namespace jayramp::relay
