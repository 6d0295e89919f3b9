#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jayramp {

/// Every member of the view has the version in force or has left.
struct ConfigurationAccepted {
  std::uint64_t Version = 0;

  auto operator==(const ConfigurationAccepted &) const -> bool = default;
};

/// The version is durable, but these hosts have not confirmed it yet.
struct ConfigurationPending {
  std::uint64_t Version = 0;
  std::vector<std::string> UnconfirmedHosts;

  auto operator==(const ConfigurationPending &) const -> bool = default;
};

/// Another change won; nothing was written.
struct ConfigurationConflict {
  std::uint64_t WinningVersion = 0;

  auto operator==(const ConfigurationConflict &) const -> bool = default;
};

using ConfigurationOutcome =
    std::variant<ConfigurationAccepted, ConfigurationPending,
                 ConfigurationConflict>;

} // namespace jayramp
