#pragma once

#include "Configuration/Configuration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace jayramp {

/// The configuration in force on this host. All members are safe to call from
/// any thread; listeners run on the thread that calls adopt(), one version at a
/// time and in rising order, and must not call adopt().
class ConfigurationStore {
public:
  using Listener = std::function<void(const Configuration &)>;

  ConfigurationStore();

  /// The newest version that every listener has applied.
  auto current() const -> std::shared_ptr<const Configuration>;
  auto version() const -> std::uint64_t { return current()->version(); }

  /// Puts \p Newer in force and returns after the listeners have run. Returns
  /// false, without effect, if its version is not newer than the current one.
  auto adopt(const Configuration &Newer) -> bool;

  /// Adds a listener, which is called at once with the current version.
  auto addListener(Listener Added) -> void;

private:
  mutable std::mutex CurrentMutex; ///< Guards Current.
  std::shared_ptr<const Configuration> Current;
  std::mutex AdoptMutex; ///< Serializes adoption; guards Listeners.
  std::vector<Listener> Listeners;
};

} // namespace jayramp
