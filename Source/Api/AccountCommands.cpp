#include "Api/AccountCommands.h"

#include "Api/FieldChecks.h"
#include "Configuration/ConfigurationCommands.h"
#include "Configuration/ConfigurationQueries.h"
#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <algorithm>

namespace jayramp {

namespace {

// A change must be in force everywhere within 4 s; a call that waits longer
// reports the hosts that are missing.
constexpr Milliseconds AcceptTimeout{4000};

struct ResponseMaker {
  auto operator()(const ConfigurationAccepted &Value) const -> ApiResponse {
    v1::ConfigurationReport Report;
    Report.set_version(Value.Version);
    Report.set_accepted(true);
    return ApiResponse::json(200, Report);
  }
  auto operator()(const ConfigurationPending &Value) const -> ApiResponse {
    v1::ConfigurationReport Report;
    Report.set_version(Value.Version);
    for (const auto &Host : Value.WaitingFor)
      Report.add_waiting_for(Host);
    return ApiResponse::json(202, Report);
  }
  auto operator()(const ConfigurationConflict &Value) const -> ApiResponse {
    return ApiResponse::failure(
        Error::make(ErrorKind::Conflict, "expected_version",
                    "version " + std::to_string(Value.WinningVersion) +
                        " is newer",
                    "read the configuration and repeat the change with "
                    "expected_version " +
                        std::to_string(Value.WinningVersion)),
        Value.WinningVersion);
  }
};

auto toResponse(const Result<ConfigurationOutcome> &Outcome) -> ApiResponse {
  if (!Outcome)
    return ApiResponse::failure(Outcome.error());
  return std::visit(ResponseMaker{}, Outcome.value());
}

} // namespace

AccountCommands::AccountCommands(ConfigurationCommands &Commands,
                                 const ConfigurationQueries &Queries)
    : Commands(Commands), Queries(Queries) {}

auto AccountCommands::changeConfiguration(const std::string &Body)
    -> ApiResponse {
  v1::ChangeConfiguration Change;
  auto Parsed = parseJson(Body, Change);
  if (!Parsed)
    return ApiResponse::failure(Parsed.error());
  if (!Change.has_document())
    return ApiResponse::failure(
        Error::make(ErrorKind::InvalidArgument, "document", "is missing",
                    "send the whole configuration document"));
  return toResponse(Commands.change(Change.expected_version(),
                                    Change.document(), AcceptTimeout));
}

auto AccountCommands::setAccount(const std::string &Name,
                                 const std::string &Body) -> ApiResponse {
  v1::ChangeAccount Change;
  auto Parsed = parseJson(Body, Change);
  if (!Parsed)
    return ApiResponse::failure(Parsed.error());
  if (Change.account().name() != Name)
    return ApiResponse::failure(
        Error::make(ErrorKind::InvalidArgument, "account.name",
                    "'" + Change.account().name() + "' differs from the path",
                    "use the same name in the path and in the body"));
  return toResponse(Commands.changeAccount(Change.account(), AcceptTimeout));
}

auto AccountCommands::removeAccount(const std::string &Name) -> ApiResponse {
  auto Known = checkAccountExists(Queries, Name);
  if (!Known)
    return ApiResponse::failure(Known.error());
  auto Current = Queries.current();
  v1::ConfigurationDocument Document = Current->document();
  auto *Accounts = Document.mutable_accounts();
  Accounts->erase(std::remove_if(Accounts->begin(), Accounts->end(),
                                 [&Name](const v1::ClientAccount &Entry) {
                                   return Entry.name() == Name;
                                 }),
                  Accounts->end());
  return toResponse(
      Commands.change(Current->version(), Document, AcceptTimeout));
}

} // namespace jayramp
