#pragma once

#include "Configuration/Configuration.h"

#include <memory>
#include <string>
#include <vector>

namespace jayramp {

class ConfigurationStore;
class MembershipRunner;

/// Read access to the configuration and its rollout. All member functions are
/// thread-safe and non-blocking.
class ConfigurationQueries {
public:
  ConfigurationQueries(const ConfigurationStore &Store,
                       const MembershipRunner &Membership);

  /// Returns the newest configuration that this host has adopted.
  auto current() const -> std::shared_ptr<const Configuration>;

  /// Returns the names of the members of the view that are not known to have
  /// adopted \p Version or a newer one.
  auto unconfirmedHosts(std::uint64_t Version) const
      -> std::vector<std::string>;

private:
  const ConfigurationStore &Store;
  const MembershipRunner &Membership;
};

} // namespace jayramp
