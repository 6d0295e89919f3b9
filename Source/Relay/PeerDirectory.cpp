#include "Relay/PeerDirectory.h"

#include "Base/EventLog.h"
#include "Relay/HostTable.h"

namespace jayramp::relay {

namespace {

constexpr Milliseconds WriteTimeout{1200};
constexpr Milliseconds RetryDelay{300};
constexpr store::FollowerTiming HostFollowerTiming{
    Milliseconds{5000}, Milliseconds{500}, Milliseconds{500}};

} // namespace

PeerDirectory::PeerDirectory(net::EventLoop &Loop, store::RowStore &Store,
                             RelayPolicy &Policy, std::string Host,
                             std::string Address)
    : Loop(Loop), Store(Store), Policy(Policy), Host(std::move(Host)),
      Address(std::move(Address)) {}

PeerDirectory::~PeerDirectory() { *Alive = false; }

auto PeerDirectory::start() -> void {
  registerHost();
  Follower = std::make_unique<store::TableFollower>(
      Loop, Store, HostTable, std::vector<std::string>{""}, HostFollowerTiming,
      store::TableFollower::Observer{
          [this](const std::vector<store::Row> &Snapshot) {
            AddressByHost.clear();
            applyRows(Snapshot);
          },
          [this](const std::vector<store::Row> &Changed) {
            applyRows(Changed);
          },
          [] {}});
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
  const auto Found = AddressByHost.find(Name);
  return Found == AddressByHost.end() ? std::string() : Found->second;
}

auto PeerDirectory::registerHost() -> void {
  store::RowTransaction Change;
  Change.Writes.push_back({{HostTable, {}, Host}, Address});
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
      AddressByHost.erase(Row.Key.Key);
    else
      AddressByHost[Row.Key.Key] = Row.Value;
  }
  std::vector<std::string> Addresses;
  for (const auto &[Name, HostAddress] : AddressByHost)
    Addresses.push_back(HostAddress);
  Policy.setHosts(std::move(Addresses));
}

} // namespace jayramp::relay
