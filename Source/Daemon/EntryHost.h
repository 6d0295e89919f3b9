#pragma once

#include "Base/Result.h"

#include <memory>

namespace jayramp {

class DaemonSettings;

/// One entry host: all parts of the daemon, connected.
class EntryHost {
public:
  /// Opens all sockets and joins the view.
  /// \returns Unavailable if an address cannot be bound.
  static auto start(const DaemonSettings &Settings)
      -> Result<std::unique_ptr<EntryHost>>;

  ~EntryHost();
  EntryHost(const EntryHost &) = delete;
  auto operator=(const EntryHost &) -> EntryHost & = delete;

  /// Begins a planned stop. Safe to call from any thread; repeats have no
  /// effect.
  auto beginPlannedStop() -> void;

  /// Ends a planned stop early: what is in progress is cut.
  auto endStopEarly() -> void;

  /// Blocks until a planned stop has been asked for, then carries it out.
  /// \returns the number of requests that were cut.
  auto run() -> std::size_t;

private:
  class Parts;

  explicit EntryHost(std::unique_ptr<Parts> Body);

  std::unique_ptr<Parts> Body;
};

} // namespace jayramp
