#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jayramp {

/// The new version is written, and every member of the membership view has
/// adopted it or has left the view.
struct ConfigurationAccepted {
  std::uint64_t Version = 0;

  auto operator==(const ConfigurationAccepted &) const -> bool = default;
};

/// The new version is written, but some members have not confirmed yet that
/// they have adopted it.
struct ConfigurationPending {
  std::uint64_t Version = 0;
  std::vector<std::string> UnconfirmedHosts; ///< Host names.

  auto operator==(const ConfigurationPending &) const -> bool = default;
};

/// Another change was written first; this change was not written.
struct ConfigurationConflict {
  /// Current version, which the other change has written.
  std::uint64_t WinningVersion = 0;

  auto operator==(const ConfigurationConflict &) const -> bool = default;
};

using ConfigurationOutcome =
    std::variant<ConfigurationAccepted, ConfigurationPending,
                 ConfigurationConflict>;

} // namespace jayramp
