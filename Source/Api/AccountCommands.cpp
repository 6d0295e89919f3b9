#include "Api/AccountCommands.h"

#include "Api/FieldChecks.h"
#include "Configuration/ConfigurationCommands.h"
#include "Configuration/ConfigurationQueries.h"
#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <algorithm>

namespace jayramp {

namespace {

// A change must be in effect on all entry hosts within 4 s. After this time the
// call reports the hosts that have not confirmed the change.
constexpr Milliseconds ConfirmationTimeout{4000};

/// Converts the outcome of a configuration change to an HTTP response.
struct OutcomeToResponse {
  auto operator()(const ConfigurationAccepted &Value) const -> ApiResponse {
    v1::ConfigurationReport Report;
    Report.set_version(Value.Version);
    Report.set_accepted(true);
    return ApiResponse::json(200, Report);
  }
  auto operator()(const ConfigurationPending &Value) const -> ApiResponse {
    v1::ConfigurationReport Report;
    Report.set_version(Value.Version);
    for (const auto &Host : Value.UnconfirmedHosts)
      Report.add_waiting_for(Host);
    return ApiResponse::json(202, Report);
  }
  auto operator()(const ConfigurationConflict &Value) const -> ApiResponse {
    return ApiResponse::failure(
        Error::make(ErrorKind::Conflict, "expected_version",
                    "the current configuration has version " +
                        std::to_string(Value.WinningVersion),
                    "read the configuration and repeat the change with "
                    "expected_version " +
                        std::to_string(Value.WinningVersion)),
        Value.WinningVersion);
  }
};

auto toResponse(const Result<ConfigurationOutcome> &Outcome) -> ApiResponse {
  if (!Outcome)
    return ApiResponse::failure(Outcome.error());
  return std::visit(OutcomeToResponse{}, Outcome.value());
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
        Error::make(ErrorKind::InvalidArgument, "document",
                    "the configuration document is missing",
                    "send the whole configuration in the field 'document'"));
  return toResponse(Commands.change(Change.expected_version(),
                                    Change.document(), ConfirmationTimeout));
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
                    "'" + Change.account().name() +
                        "' differs from the name '" + Name + "' in the path",
                    "use the same name in the path and in the body"));
  return toResponse(
      Commands.changeAccount(Change.account(), ConfirmationTimeout));
}

auto AccountCommands::removeAccount(const std::string &Name) -> ApiResponse {
  auto Checked = checkAccountExists(Queries, Name);
  if (!Checked)
    return ApiResponse::failure(Checked.error());
  auto Current = Queries.current();
  v1::ConfigurationDocument Document = Current->document();
  auto *Accounts = Document.mutable_accounts();
  Accounts->erase(std::remove_if(Accounts->begin(), Accounts->end(),
                                 [&Name](const v1::ClientAccount &Entry) {
                                   return Entry.name() == Name;
                                 }),
                  Accounts->end());
  return toResponse(
      Commands.change(Current->version(), Document, ConfirmationTimeout));
}

} // namespace jayramp
