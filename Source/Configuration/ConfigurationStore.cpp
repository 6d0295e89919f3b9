#include "Configuration/ConfigurationStore.h"

#include <utility>

namespace jayramp {

ConfigurationStore::ConfigurationStore()
    : Current(std::make_shared<const Configuration>()) {}

auto ConfigurationStore::current() const
    -> std::shared_ptr<const Configuration> {
  std::lock_guard Lock(CurrentMutex);
  return Current;
}

auto ConfigurationStore::adopt(const Configuration &Newer) -> bool {
  std::lock_guard AdoptLock(AdoptMutex);
  if (Newer.version() <= version())
    return false;
  for (const auto &NotifyListener : Listeners)
    NotifyListener(Newer);
  std::lock_guard Lock(CurrentMutex);
  Current = std::make_shared<const Configuration>(Newer);
  return true;
}

auto ConfigurationStore::addListener(Listener Added) -> void {
  std::lock_guard AdoptLock(AdoptMutex);
  Added(*current());
  Listeners.push_back(std::move(Added));
}

} // namespace jayramp
