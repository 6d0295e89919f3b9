#pragma once

#include <string>
#include <variant>

namespace jayramp {

/// A worker ran the request and its answer arrived completely.
struct OutcomeAnswered {
  std::string Body;
  auto operator==(const OutcomeAnswered &) const -> bool = default;
};

/// A worker ran the request and reported a failure.
struct OutcomeFailed {
  std::string Body;
  auto operator==(const OutcomeFailed &) const -> bool = default;
};

/// The request did not run.
struct OutcomeNotRun {
  std::string Detail;
  auto operator==(const OutcomeNotRun &) const -> bool = default;
};

/// The request may or may not have run.
struct OutcomeUnknown {
  std::string Detail;
  auto operator==(const OutcomeUnknown &) const -> bool = default;
};

/// Final outcome of a request.
using RequestOutcome =
    std::variant<OutcomeAnswered, OutcomeFailed, OutcomeNotRun, OutcomeUnknown>;

} // namespace jayramp
