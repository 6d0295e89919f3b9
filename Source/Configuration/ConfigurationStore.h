#pragma once

#include "Configuration/Configuration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace jayramp {

/// Holds the configuration that is active on this host and notifies listeners
/// when it changes. All member functions are thread-safe. Listeners run on the
/// thread that calls adopt(), one version at a time and in ascending order of
/// versions; they must not call adopt().
class ConfigurationStore {
public:
  using Listener = std::function<void(const Configuration &)>;

  ConfigurationStore();

  /// Returns the newest configuration that every listener has processed.
  auto current() const -> std::shared_ptr<const Configuration>;
  auto version() const -> std::uint64_t { return current()->version(); }

  /// Calls the listeners with \p Newer and then makes it the current
  /// configuration.
  /// \returns false, and does nothing, if \p Newer is not newer than the
  /// current version.
  auto adopt(const Configuration &Newer) -> bool;

  /// Registers \p Added and calls it with the current configuration before
  /// returning.
  auto addListener(Listener Added) -> void;

private:
  mutable std::mutex CurrentMutex; ///< Guards Current.
  std::shared_ptr<const Configuration> Current;
  std::mutex AdoptMutex; ///< Serializes adopt() calls; guards Listeners.
  std::vector<Listener> Listeners;
};

} // namespace jayramp
