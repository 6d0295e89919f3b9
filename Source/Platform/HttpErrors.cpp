#include "Platform/HttpErrors.h"

#include <variant>

namespace jayramp {

namespace {

// Ranges of HTTP status codes: 400 to 499 and 500 to 599.
constexpr unsigned FirstClientError = 400;
constexpr unsigned FirstServerError = 500;

/// Returns the kind of error for a call that may have reached the server.
auto errorKindAfterSending(bool HasEffect) -> ErrorKind {
  return HasEffect ? ErrorKind::Timeout : ErrorKind::Unavailable;
}

class ErrorVisitor {
public:
  ErrorVisitor(const std::string &Operation, bool HasEffect)
      : Operation(Operation), HasEffect(HasEffect) {}

  auto operator()(const HttpNotSent &Outcome) const -> Error {
    return Error::make(
        ErrorKind::Unavailable, Operation, Outcome.Detail,
        "check that the server runs and can be reached from this host");
  }

  auto operator()(const HttpInterrupted &Outcome) const -> Error {
    return Error::make(
        errorKindAfterSending(HasEffect), Operation, Outcome.Detail,
        HasEffect ? "repeat the call with the same identifier; it may have "
                    "taken effect"
                  : "repeat the call");
  }

  auto operator()(const HttpResponseReceived &Outcome) const -> Error {
    std::string Detail =
        "unexpected HTTP status " + std::to_string(Outcome.Status);
    if (!Outcome.Body.empty())
      Detail += ": " + Outcome.Body.substr(0, MaxQuotedBodyBytes);
    bool IsClientError =
        Outcome.Status >= FirstClientError && Outcome.Status < FirstServerError;
    if (IsClientError)
      return Error::make(ErrorKind::Rejected, Operation, Detail,
                         "correct the request as the status and its text say");
    return Error::make(errorKindAfterSending(HasEffect), Operation, Detail,
                       "check the state and the log of the server");
  }

private:
  static constexpr std::size_t MaxQuotedBodyBytes = 200;

  const std::string &Operation;
  bool HasEffect;
};

} // namespace

auto httpCallError(const std::string &Operation, const HttpOutcome &Outcome,
                   bool HasEffect) -> Error {
  return std::visit(ErrorVisitor(Operation, HasEffect), Outcome);
}

auto malformedResponseError(const std::string &Operation,
                            const std::string &Detail, bool HasEffect)
    -> Error {
  return Error::make(errorKindAfterSending(HasEffect), Operation,
                     "the response cannot be parsed: " + Detail,
                     "check that the server runs a version with the expected "
                     "response format");
}

} // namespace jayramp
