#pragma once

#include "Base/Metrics.h"
#include "Configuration/ConfigurationCommands.h"
#include "Configuration/ConfigurationQueries.h"
#include "Configuration/ConfigurationStore.h"
#include "FakeTableService.h"
#include "Membership/MembershipRunner.h"
#include "Membership/PeerTransport.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace jayramp::test {

/// Forwards the calls of one host to a table service that several hosts share.
/// While Disconnected is true, each call fails as if the host could not reach
/// the service.
class DisconnectableTableService final : public TableService {
public:
  explicit DisconnectableTableService(FakeTableService &Target)
      : Target(Target) {}

  std::atomic<bool> Disconnected{false};

  auto read(const std::string &Table, const std::string &Key)
      -> Result<std::optional<TableRow>> override {
    if (Disconnected)
      return unavailable();
    return Target.read(Table, Key);
  }
  auto changes(const std::string &Table, std::uint64_t Since)
      -> Result<TableChanges> override {
    if (Disconnected)
      return unavailable();
    return Target.changes(Table, Since);
  }
  auto commit(const TableTransaction &Transaction)
      -> Result<CommitResult> override {
    if (Disconnected)
      return unavailable();
    return Target.commit(Transaction);
  }

private:
  static auto unavailable() -> Error {
    return Error::make(ErrorKind::Unavailable, "store",
                       "the host is disconnected from the store", "retry");
  }

  FakeTableService &Target;
};

/// An entry host with membership and configuration but without an API, on a
/// free loopback port.
class FakeEntryHost {
public:
  FakeEntryHost(const std::string &Name, FakeTableService &Tables)
      : TableAccess(Tables),
        Transport(
            PeerTransport::make(Name, "", "127.0.0.1:0", Registry).value()),
        Runner(MembershipRunner::make(
                   {.Name = Name, .PeerAddress = Transport->address()},
                   MembershipTiming(), TableAccess, *Transport, Store, Registry)
                   .value()),
        Commands(TableAccess, Store, *Runner, *Transport, Registry) {
    Runner->start();
  }
  /// Stops without leaving the view, as after a crash.
  ~FakeEntryHost() {
    Runner->stop();
    Transport->stop();
  }

  /// Returns true if the host may serve requests.
  auto serves() const -> bool {
    return std::holds_alternative<ServingPermitted>(Runner->servingDecision());
  }
  /// Returns the number of members in the host's view.
  auto memberCount() const -> std::size_t {
    return Runner->view()->members().size();
  }

  Metrics Registry;
  DisconnectableTableService TableAccess;
  ConfigurationStore Store;
  std::unique_ptr<PeerTransport> Transport;
  std::unique_ptr<MembershipRunner> Runner;
  ConfigurationCommands Commands;
};

/// Waits until \p Condition returns true. Returns the time waited, or -1 ms if
/// \p Limit has passed.
inline auto waitUntil(const std::function<bool()> &Condition,
                      Milliseconds Limit) -> Milliseconds {
  TimePoint Start = Clock::now();
  while (!Condition()) {
    if (Clock::now() - Start > Limit)
      return Milliseconds(-1);
    std::this_thread::sleep_for(Milliseconds(2));
  }
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - Start);
}

} // namespace jayramp::test
