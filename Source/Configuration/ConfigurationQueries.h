#pragma once

#include "Configuration/Configuration.h"

#include <memory>
#include <string>
#include <vector>

namespace jayramp {

class ConfigurationStore;
class MembershipRunner;

/// Reads the configuration. Safe to call from any thread; never blocks.
class ConfigurationQueries {
public:
  ConfigurationQueries(const ConfigurationStore &Store,
                       const MembershipRunner &Membership);

  auto current() const -> std::shared_ptr<const Configuration>;

  /// Members of the view that are not known to have \p Version in force.
  auto unconfirmedHosts(std::uint64_t Version) const
      -> std::vector<std::string>;

private:
  const ConfigurationStore &Store;
  const MembershipRunner &Membership;
};

} // namespace jayramp
