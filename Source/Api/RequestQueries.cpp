#include "Api/RequestQueries.h"

#include "Membership/MembershipRunner.h"
#include "Requests/ClaimAnswer.h"
#include "Requests/KeyCoordinator.h"
#include "Requests/OutcomeMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <variant>

namespace jayramp {

namespace {

auto unavailableResponse(const std::string &Detail) -> ApiResponse {
  return ApiResponse::failure(Error::make(ErrorKind::Unavailable, "key", Detail,
                                          "repeat the query after 500 ms"));
}

/// Returns the report of a finished request. A record without a readable
/// outcome gives the outcome UNKNOWN.
auto finishedReport(const KeyRecord &Record) -> v1::KeyReport {
  v1::KeyReport Report;
  Report.set_state(v1::KEY_DONE);
  if (Record.IsOutcomeUnknown ||
      !Report.mutable_outcome()->ParseFromString(Record.Outcome))
    *Report.mutable_outcome() =
        makeOutcome(v1::UNKNOWN, v1::ENTRY_HOST_LOST,
                    "the entry host that held the request was lost", 0);
  return Report;
}

auto toResponse(const ClaimAnswer &Answer) -> ApiResponse {
  v1::KeyReport Report;
  switch (Answer.Decision) {
  case peer::v1::CLAIM_ABSENT:
    Report.set_state(v1::KEY_ABSENT);
    return ApiResponse::json(200, Report);
  case peer::v1::CLAIM_GRANTED:
  case peer::v1::CLAIM_IN_PROGRESS:
    Report.set_state(v1::KEY_IN_FLIGHT);
    return ApiResponse::json(200, Report);
  case peer::v1::CLAIM_DONE:
    return ApiResponse::json(200, finishedReport(Answer.Record));
  case peer::v1::CLAIM_HISTORY_LOST:
    Report.set_state(v1::KEY_DONE);
    *Report.mutable_outcome() =
        makeOutcome(v1::UNKNOWN, v1::HISTORY_LOST,
                    "the record of this key was lost with its entry hosts", 0);
    return ApiResponse::json(200, Report);
  default:
    return unavailableResponse(
        "the entry host that keeps the record of the key cannot answer now");
  }
}

} // namespace

RequestQueries::RequestQueries(KeyCoordinator &Keys,
                               const MembershipRunner &Membership)
    : Keys(Keys), Membership(Membership) {}

auto RequestQueries::show(const std::string &Account, const std::string &Key,
                          Respond Done) -> void {
  auto Serving = Membership.servingDecision();
  if (const auto *Refused = std::get_if<ServingRefused>(&Serving))
    return Done(unavailableResponse(Refused->Detail));
  Keys.query(Account, Key,
             [Done](const ClaimAnswer &Answer) { Done(toResponse(Answer)); });
}

} // namespace jayramp
