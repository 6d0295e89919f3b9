#pragma once

#include "EntryHost.h"
#include "Record.h"
#include "Store.h"
#include "Worker.h"

#include <optional>
#include <string>
#include <vector>

namespace jayramp::review {

/// Results of a case, as the exit code of its program.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// A queue of the configuration.
struct Route {
  std::string Name;
  std::string Prefix;
  std::string Service;
  int Priority = 1;
};

/// A small deployment: store, workers and entry hosts on loopback addresses,
/// and a client that calls one host.
class Stage {
public:
  /// \p Arguments are the daemon, the folder of the record and a folder for
  /// settings and logs.
  explicit Stage(const std::vector<std::string> &Arguments);

  auto addHosts(std::size_t Count) -> void;
  /// Starts \p Count workers of one kind; their ids continue those before.
  auto addWorkers(std::size_t Count, const WorkerKind &Kind) -> void;
  /// Writes a configuration as the operator does.
  auto configure(const std::vector<Route> &Routes,
                 const std::vector<std::string> &Services) -> void;
  /// Waits until all hosts are ready and one owns a shard; false if it takes
  /// too long.
  auto waitUntilReady(std::size_t Shards) -> bool;

  /// Sends a call of a client with a key; usually that of tenant-1.
  auto call(const EntryHost &Host, const std::string &Method,
            const std::string &Path, const std::string &Body = "",
            const std::string &Key = FirstKey) -> std::optional<Response>;
  /// Submits a job as a client does: again with the same id at the next host
  /// until an answer tells the outcome. Returns whether it was accepted.
  auto submit(const std::string &Path, const std::string &Body) -> bool;
  /// Returns the answer to a GET for a job: its state, or the status.
  auto stateOf(const EntryHost &Host, const std::string &Path) -> std::string;
  /// Returns the position of the host that took the shard last; none if no
  /// host has.
  auto ownerOf(const std::string &Service) -> std::optional<std::size_t>;

  auto hosts() -> std::vector<std::unique_ptr<EntryHost>> & { return Hosts; }
  auto workers() -> std::vector<std::unique_ptr<Worker>> & { return Workers; }
  auto store() -> Store & { return Rows; }
  auto record() -> Record & { return Log; }
  auto starts() -> Starts & { return Seen; }
  /// Ends all processes and stand-ins.
  auto end() -> void;

  /// Keys of tenant-1 and tenant-2.
  static constexpr const char *FirstKey = "key-of-tenant-1";
  static constexpr const char *SecondKey = "key-of-tenant-2";

  static auto pause(int Ms) -> void;
  /// Returns whether the case is played with its disruption.
  static auto hasTrouble() -> bool;

private:
  std::string Daemon;
  std::string Folder;
  Record Log;
  Store Rows;
  Starts Seen;
  std::uint64_t Version = 0;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::vector<std::unique_ptr<EntryHost>> Hosts;
};

} // namespace jayramp::review
