#include "Platform/HttpErrors.h"

#include <variant>

namespace jayramp {

namespace {

constexpr unsigned FirstServerError = 500;
constexpr unsigned FirstClientError = 400;

auto unknownEffect(bool HasEffect) -> ErrorKind {
  return HasEffect ? ErrorKind::Timeout : ErrorKind::Unavailable;
}

class FailureVisitor {
public:
  FailureVisitor(const std::string &Operation, bool HasEffect)
      : Operation(Operation), HasEffect(HasEffect) {}

  auto operator()(const HttpNotSent &Outcome) const -> Error {
    return Error::make(ErrorKind::Unavailable, Operation, Outcome.Detail,
                       "check that the service runs and can be reached");
  }

  auto operator()(const HttpInterrupted &Outcome) const -> Error {
    return Error::make(unknownEffect(HasEffect), Operation, Outcome.Detail,
                       HasEffect ? "repeat the call with the same identifier"
                                 : "repeat the call");
  }

  auto operator()(const HttpResponseReceived &Outcome) const -> Error {
    std::string Detail = "status " + std::to_string(Outcome.Status);
    if (!Outcome.Body.empty())
      Detail += ": " + Outcome.Body.substr(0, LongestQuote);
    bool Refused =
        Outcome.Status >= FirstClientError && Outcome.Status < FirstServerError;
    if (Refused)
      return Error::make(ErrorKind::Rejected, Operation, Detail,
                         "correct the request");
    return Error::make(unknownEffect(HasEffect), Operation, Detail,
                       "check the service");
  }

private:
  static constexpr std::size_t LongestQuote = 200;

  const std::string &Operation;
  bool HasEffect;
};

} // namespace

auto httpCallError(const std::string &Operation, const HttpOutcome &Outcome,
                   bool HasEffect) -> Error {
  return std::visit(FailureVisitor(Operation, HasEffect), Outcome);
}

auto malformedResponseError(const std::string &Operation,
                            const std::string &Detail, bool HasEffect)
    -> Error {
  return Error::make(unknownEffect(HasEffect), Operation,
                     "malformed answer: " + Detail,
                     "check that the service has the expected version");
}

} // namespace jayramp
