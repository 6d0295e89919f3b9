#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jayramp::shard {

struct ServingConfiguration;

/// What a finding says about a configuration.
enum class FindingKind {
  Error,         ///< Must not be published.
  NeverMatches,  ///< An entry that no request can ever use.
  Contradiction, ///< Limits that can't be met together.
  Difference,    ///< Differs from the version in force.
};

/// Returns the name of the kind in reports, for example "never-matches".
auto toString(FindingKind Kind) -> std::string_view;

/// One result of a review.
struct ConfigurationFinding {
  FindingKind Kind = FindingKind::Error;
  std::string Place; ///< The entry, for example `queue "maps"`.
  std::string Detail;
  std::string Remedy; ///< Empty for a difference.

  auto operator==(const ConfigurationFinding &) const -> bool = default;
};

/// Reviews \p Proposed before it is published: returns errors, entries that no
/// request can use and limits that contradict each other, in this order.
auto reviewConfiguration(const ServingConfiguration &Proposed)
    -> std::vector<ConfigurationFinding>;

/// Returns what \p Proposed changes about \p InForce, and an error if its
/// version is not newer. API keys are counted and never shown.
auto compareConfigurations(const ServingConfiguration &InForce,
                           const ServingConfiguration &Proposed)
    -> std::vector<ConfigurationFinding>;

} // namespace jayramp::shard
