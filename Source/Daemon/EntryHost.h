#pragma once

#include "Base/Result.h"

#include <memory>

namespace jayramp {

class DaemonSettings;

/// An entry host: creates all components of the daemon and connects them.
class EntryHost {
public:
  /// Opens all sockets and starts to join the membership view. Returns
  /// Unavailable if an address cannot be bound, InvalidArgument if a setting is
  /// invalid.
  static auto start(const DaemonSettings &Settings)
      -> Result<std::unique_ptr<EntryHost>>;

  ~EntryHost();
  EntryHost(const EntryHost &) = delete;
  auto operator=(const EntryHost &) -> EntryHost & = delete;

  /// Begins a planned stop. May be called from any thread; repeated calls have
  /// no effect.
  auto beginPlannedStop() -> void;

  /// Ends a planned stop early: run() no longer waits for requests in progress.
  /// May be called from any thread.
  auto endStopEarly() -> void;

  /// Blocks until a planned stop begins, then carries it out: waits for the
  /// requests in progress and leaves the membership view. Returns the number of
  /// requests that were interrupted.
  auto run() -> std::size_t;

private:
  class Components;

  explicit EntryHost(std::unique_ptr<Components> Impl);

  std::unique_ptr<Components> Impl;
};

} // namespace jayramp
