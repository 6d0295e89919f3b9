#pragma once

#include "Base/Clock.h"
#include "EndToEnd/ChildProcess.h"
#include "EndToEnd/StandIn.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jayramp {

/// One platform stand-in, worker stand-ins and entry hosts on free loopback
/// ports. The destructor ends all processes. Members throw std::runtime_error
/// on failure, which ends the test. Create it on the main thread of the test.
class TestCluster {
public:
  struct Options {
    std::size_t EntryHosts = 2;
    std::size_t Workers = 4;
    /// Further arguments of worker-stand-in, for example {"--slots", "2"}.
    std::vector<std::string> WorkerArguments;
    /// Values of the settings file by key, for example
    /// {"stop.grace_ms", "100"}; they replace the values of the cluster.
    std::map<std::string, std::string> Settings;
    /// ConfigurationDocument in JSON that is put in force by start(). Empty:
    /// accounts "alpha" and "beta" without guarantees, each with share 100.
    std::string Configuration;
    /// Workers are divided into racks of this size, racks over two
    /// availability zones.
    std::size_t WorkersPerRack = 6;
    /// Entry hosts write their logs to pipes that nobody reads.
    bool LogToUnreadPipes = false;
  };

  /// Starts everything and returns when every entry host is ready, the view
  /// holds all of them, the configuration is accepted and each owner has seen
  /// its workers.
  static auto start(const Options &Wanted) -> TestCluster;

  ~TestCluster();
  TestCluster(TestCluster &&) noexcept = default;
  auto operator=(TestCluster &&) noexcept -> TestCluster & = delete;

  /// "IP:port" of the API, and of the peer listener, of an entry host.
  auto entryAddress(std::size_t Index) const -> std::string;
  auto peerAddress(std::size_t Index) const -> std::string;
  auto platformAddress() const -> std::string;
  auto workerAddress(std::size_t Index) const -> std::string;

  auto platform() -> StandIn & { return Platform; }
  /// All workers; pass the index of a worker to control() and record().
  auto workers() -> StandIn & { return Workers; }
  auto entry(std::size_t Index) -> ChildProcess &;
  auto entryHostCount() const -> std::size_t { return Hosts.size(); }

  auto settingsPath(std::size_t Index) const -> std::string;
  /// Log lines of an entry host since the cluster started.
  auto log(std::size_t Index) const -> std::string;

  /// SIGTERM, then the exit code; nothing if it still runs after \p Timeout.
  auto stop(std::size_t Index, Milliseconds Timeout) -> std::optional<int>;
  auto kill(std::size_t Index) -> void;
  /// SIGSTOP and SIGCONT.
  auto suspend(std::size_t Index) -> void;
  auto resume(std::size_t Index) -> void;
  /// Starts an entry host that has ended, with the same settings file. Does
  /// not wait until it is ready.
  auto startEntry(std::size_t Index) -> void;
  /// Kills an entry host and starts it again, then waits until it is ready.
  auto restart(std::size_t Index) -> void;

  auto waitUntilReady(std::size_t Index, Milliseconds Timeout) -> void;
  /// Waits until the view that entry host \p Index knows has \p Members.
  auto waitForMemberCount(std::size_t Index, std::size_t Members,
                          Milliseconds Timeout) -> void;

  /// Puts \p Document (ConfigurationDocument in JSON) in force on all hosts.
  auto configure(const std::string &Document) -> void;

private:
  struct Host {
    unsigned short ApiPort = 0;
    unsigned short PeerPort = 0;
    std::optional<ChildProcess> Process;
  };

  TestCluster(const Options &Wanted, StandIn Platform, StandIn Workers);

  auto listWorkers(const Options &Wanted) -> void;
  auto writeSettings(const Options &Wanted, std::size_t Index) const -> void;
  auto waitWorkersSeen(std::size_t Count, Milliseconds Timeout) -> void;

  StandIn Platform;
  StandIn Workers;
  std::vector<Host> Hosts;
  std::string Folder;
  bool LogToUnreadPipes = false;
  std::vector<int> Unread; ///< Pipes that nobody reads.
};

} // namespace jayramp
