#pragma once

#include <string>
#include <variant>

namespace jayramp {

/// The worker ran the request; the answer is whole.
struct OutcomeAnswered {
  std::string Body;
  auto operator==(const OutcomeAnswered &) const -> bool = default;
};

/// The worker ran the request and reported failure.
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

/// The closed set of results of a request.
using RequestOutcome =
    std::variant<OutcomeAnswered, OutcomeFailed, OutcomeNotRun, OutcomeUnknown>;

} // namespace jayramp
