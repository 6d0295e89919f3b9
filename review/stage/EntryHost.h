#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace jayramp::review {

/// Where an entry host and its log are.
struct EntryHostPlace {
  std::string Daemon; ///< Path of jayramp-entryd.
  std::string Folder; ///< For its settings and log.
  std::string Name;
  std::string Ip;
  std::string StoreAddress;
};

/// One process of jayramp-entryd, with settings like those of a small
/// deployment.
class EntryHost {
public:
  explicit EntryHost(EntryHostPlace Place);
  ~EntryHost();
  EntryHost(const EntryHost &) = delete;
  auto operator=(const EntryHost &) -> EntryHost & = delete;

  auto start() -> void;
  /// Sends \p Signal to the process.
  auto signal(int Signal) const -> void;
  /// Kills the process and waits for its end.
  auto kill() -> void;
  /// Returns whether the process has ended by itself.
  auto hasEnded() -> bool;

  /// Returns the resident memory of the process in KB; 0 if it has ended.
  auto residentKb() const -> long;
  /// Returns whether the host reports itself ready.
  auto isReady() const -> bool;
  auto callers() const -> std::string;
  auto name() const -> const std::string & { return Place.Name; }
  /// Returns the log that the process has written so far.
  auto log() const -> std::string;

private:
  EntryHostPlace Place;
  int CallerPort = 0;
  int ReadyPort = 0;
  int ControlPort = 0;
  int InternalPort = 0;
  pid_t Process = -1;
};

} // namespace jayramp::review
