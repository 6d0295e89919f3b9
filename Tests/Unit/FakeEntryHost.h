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

/// Passes calls on to a store shared by several hosts, unless this host is cut
/// off from it.
class DisconnectableTableService final : public TableService {
public:
  explicit DisconnectableTableService(FakeTableService &Target)
      : Target(Target) {}

  std::atomic<bool> Disconnected{false};

  auto read(const std::string &Table, const std::string &Key)
      -> Result<std::optional<TableRow>> override {
    if (Disconnected)
      return failure();
    return Target.read(Table, Key);
  }
  auto changes(const std::string &Table, std::uint64_t Since)
      -> Result<TableChanges> override {
    if (Disconnected)
      return failure();
    return Target.changes(Table, Since);
  }
  auto commit(const TableTransaction &Transaction)
      -> Result<CommitResult> override {
    if (Disconnected)
      return failure();
    return Target.commit(Transaction);
  }

private:
  static auto failure() -> Error {
    return Error::make(ErrorKind::Unavailable, "store", "cut off", "retry");
  }

  FakeTableService &Target;
};

/// One entry host without an API, on a free loopback port.
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
  /// Ends like a crash: without leaving the view.
  ~FakeEntryHost() {
    Runner->stop();
    Transport->stop();
  }

  auto serves() const -> bool {
    return std::holds_alternative<ServingPermitted>(Runner->serving());
  }
  auto members() const -> std::size_t {
    return Runner->view()->members().size();
  }

  Metrics Registry;
  DisconnectableTableService TableAccess;
  ConfigurationStore Store;
  std::unique_ptr<PeerTransport> Transport;
  std::unique_ptr<MembershipRunner> Runner;
  ConfigurationCommands Commands;
};

/// Waits until \p Condition holds; returns the time taken, or a negative one
/// if \p Limit has passed.
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
