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

/// Runs one platform stand-in, worker stand-ins and entry hosts as processes on
/// free loopback ports. The destructor ends all of them. Members throw
/// std::runtime_error on failure, which fails the test. Must be created on the
/// main thread of the test, because the kernel kills the processes when the
/// thread that created them ends.
class TestCluster {
public:
  struct Options {
    std::size_t EntryHosts = 2;
    std::size_t Workers = 4;
    /// Additional command-line arguments for worker-stand-in, for example
    /// {"--slots", "2"}.
    std::vector<std::string> WorkerArguments;
    /// Settings of the entry hosts by key, for example
    /// {"stop.grace_ms", "100"}. They override the defaults of the cluster.
    std::map<std::string, std::string> Settings;
    /// ConfigurationDocument in JSON that start() applies. If empty, start()
    /// applies a configuration with the accounts "alpha" and "beta", which have
    /// no guarantees and a request share of 100 each.
    std::string Configuration;
    /// Number of workers in each rack. Racks are assigned alternately to two
    /// availability zones.
    std::size_t WorkersPerRack = 6;
    /// If true, entry hosts write their logs to named pipes that no process
    /// reads.
    bool LogToUnreadPipes = false;
  };

  /// Starts all processes. Returns when every entry host is ready and has a
  /// membership view with all entry hosts, the configuration has been accepted
  /// and every worker is reported as live by the entry host that owns it.
  static auto start(const Options &ClusterOptions) -> TestCluster;

  ~TestCluster();
  TestCluster(TestCluster &&) noexcept = default;
  auto operator=(TestCluster &&) noexcept -> TestCluster & = delete;

  /// Returns "IP:port" of the API of an entry host.
  auto entryAddress(std::size_t Index) const -> std::string;
  /// Returns "IP:port" of the peer listener of an entry host.
  auto peerAddress(std::size_t Index) const -> std::string;
  auto platformAddress() const -> std::string;
  auto workerAddress(std::size_t Index) const -> std::string;

  auto platform() -> StandIn & { return Platform; }
  /// Returns the process that simulates all workers. StandIn::control() and
  /// StandIn::record() take the index of a worker.
  auto workers() -> StandIn & { return Workers; }
  auto entry(std::size_t Index) -> ChildProcess &;
  auto entryHostCount() const -> std::size_t { return Hosts.size(); }

  auto settingsPath(std::size_t Index) const -> std::string;
  /// Returns all log lines that an entry host has written since the cluster
  /// started, including those from before a restart of the host.
  auto log(std::size_t Index) const -> std::string;

  /// Sends SIGTERM to an entry host and returns its exit code, or nothing if
  /// the process still runs after \p Timeout.
  auto stop(std::size_t Index, Milliseconds Timeout) -> std::optional<int>;
  /// Kills an entry host with SIGKILL and waits until it has ended.
  auto kill(std::size_t Index) -> void;
  /// Suspends an entry host with SIGSTOP.
  auto suspend(std::size_t Index) -> void;
  /// Resumes a suspended entry host with SIGCONT.
  auto resume(std::size_t Index) -> void;
  /// Restarts an entry host that has ended, with the same settings file.
  /// Returns without waiting until the host is ready.
  auto startEntry(std::size_t Index) -> void;
  /// Kills an entry host and starts it again, then waits until it is ready.
  auto restart(std::size_t Index) -> void;

  /// Waits until GET /v1/ready of an entry host answers 200.
  auto waitUntilReady(std::size_t Index, Milliseconds Timeout) -> void;
  /// Waits until the membership view of the entry host \p Index has \p Members
  /// members.
  auto waitForMemberCount(std::size_t Index, std::size_t Members,
                          Milliseconds Timeout) -> void;

  /// Applies \p Document, a ConfigurationDocument in JSON, and returns when
  /// the cluster has accepted it.
  auto configure(const std::string &Document) -> void;

private:
  struct Host {
    unsigned short ApiPort = 0;
    unsigned short PeerPort = 0;
    std::optional<ChildProcess> Process;
  };

  TestCluster(const Options &ClusterOptions, StandIn Platform, StandIn Workers);

  auto publishHostList(const Options &ClusterOptions) -> void;
  auto writeSettings(const Options &ClusterOptions, std::size_t Index) const
      -> void;
  auto waitUntilWorkersAreLive(std::size_t Count, Milliseconds Timeout) -> void;

  StandIn Platform;
  StandIn Workers;
  std::vector<Host> Hosts;
  std::string DirectoryPath;
  bool LogToUnreadPipes = false;
  /// Descriptors that keep the named pipes of the logs open.
  std::vector<int> UnreadPipes;
};

} // namespace jayramp
