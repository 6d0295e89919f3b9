#include "Api/RequestCommands.h"

#include "Api/FieldChecks.h"
#include "Requests/RequestRouter.h"
#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <utility>

namespace jayramp {

namespace {

constexpr std::uint32_t MaxDeadlineMs = 600'000;

} // namespace

RequestCommands::RequestCommands(RequestRouter &Router,
                                 const ConfigurationQueries &Settings)
    : Router(Router), Settings(Settings) {}

auto RequestCommands::checkFields(const v1::SubmitRequest &Request) const
    -> Result<void> {
  BOOST_OUTCOME_TRYV(checkName("account", Request.account()));
  BOOST_OUTCOME_TRYV(checkName("key", Request.key()));
  BOOST_OUTCOME_TRYV(
      checkRange("deadline_ms", Request.deadline_ms(), 1, MaxDeadlineMs));
  if (!v1::WorkClass_IsValid(Request.work_class()))
    return Error::make(ErrorKind::InvalidArgument, "work_class",
                       "the value is not a known work class",
                       "set work_class to SHORT or LONG");
  return checkAccountExists(Settings, Request.account());
}

auto RequestCommands::submit(const std::string &Body, Respond Done) -> void {
  v1::SubmitRequest Request;
  auto Parsed = parseJson(Body, Request);
  if (!Parsed)
    return Done(ApiResponse::failure(Parsed.error()));
  auto Checked = checkFields(Request);
  if (!Checked)
    return Done(ApiResponse::failure(Checked.error()));
  Router.submit(Request, [Done](const v1::RequestOutcome &Outcome) {
    Done(ApiResponse::json(200, Outcome));
  });
}

auto RequestCommands::cancel(const std::string &Account, const std::string &Key,
                             const Respond &Done) -> void {
  auto Cancelled =
      Router.cancel(Account, Key, [Done](const v1::RequestOutcome &Outcome) {
        Done(ApiResponse::json(200, Outcome));
      });
  if (!Cancelled)
    Done(ApiResponse::failure(Cancelled.error()));
}

} // namespace jayramp
