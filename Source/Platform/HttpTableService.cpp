#include "Platform/HttpTableService.h"

#include "Base/Metrics.h"
#include "Platform/HttpAddress.h"
#include "Platform/HttpCall.h"
#include "Platform/HttpChannel.h"
#include "Platform/HttpErrors.h"
#include "Platform/TableTransaction.h"

#include <cpprest/base_uri.h>
#include <cpprest/json.h>

#include <exception>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

namespace jayramp {

namespace {

using web::json::value;

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;

auto percentEncode(const std::string &Segment) -> std::string {
  return web::uri::encode_data_string(Segment);
}

auto unsignedField(const value &Json, const char *Field) -> std::uint64_t {
  return Json.at(Field).as_number().to_uint64();
}

auto rowFromJson(std::string Key, const value &Json) -> TableRow {
  return {std::move(Key), unsignedField(Json, "version"),
          Json.at("write_id").as_string(), Json.at("value").as_string()};
}

auto toJson(const TableTransaction &Transaction) -> value {
  auto Json = value::object();
  Json["write_id"] = value(Transaction.WriteId);
  auto Checks = value::array(Transaction.Checks.size());
  for (std::size_t Index = 0; Index < Transaction.Checks.size(); ++Index) {
    const RowCheck &Check = Transaction.Checks[Index];
    Checks[Index]["table"] = value(Check.Table);
    Checks[Index]["key"] = value(Check.Key);
    Checks[Index]["version"] = value(Check.Version);
  }
  Json["checks"] = Checks;
  auto Writes = value::array(Transaction.Writes.size());
  for (std::size_t Index = 0; Index < Transaction.Writes.size(); ++Index) {
    const RowWrite &Write = Transaction.Writes[Index];
    Writes[Index]["table"] = value(Write.Table);
    Writes[Index]["key"] = value(Write.Key);
    Writes[Index]["expected_version"] = value(Write.ExpectedVersion);
    Writes[Index]["value"] = value(Write.Value);
  }
  Json["writes"] = Writes;
  return Json;
}

auto transactionCommittedFromJson(const value &Json, std::size_t WriteCount)
    -> TransactionCommitted {
  TransactionCommitted Applied;
  for (const value &Version : Json.at("versions").as_array())
    Applied.Versions.push_back(Version.as_number().to_uint64());
  if (Applied.Versions.size() != WriteCount)
    throw std::runtime_error(std::to_string(Applied.Versions.size()) +
                             " versions for " + std::to_string(WriteCount) +
                             " writes");
  return Applied;
}

auto transactionConflictFromJson(const value &Json) -> TransactionConflict {
  TransactionConflict Received;
  for (const value &Entry : Json.at("conflicts").as_array())
    Received.Conflicts.push_back(
        {Entry.at("table").as_string(),
         rowFromJson(Entry.at("key").as_string(), Entry)});
  if (Received.Conflicts.empty())
    throw std::runtime_error("the list of conflicts is empty");
  return Received;
}

/// Returns a random delay of up to a tenth of \p Timeout. It spreads the
/// retries of hosts whose commits failed at the same time.
auto retryJitter(Milliseconds Timeout) -> Milliseconds {
  thread_local std::minstd_rand Generator{std::random_device{}()};
  std::uniform_int_distribution<Milliseconds::rep> Distribution(
      0, Timeout.count() / 10);
  return Milliseconds(Distribution(Generator));
}

auto parseCommitResponse(const std::string &Operation,
                         const HttpOutcome &Outcome, std::size_t WriteCount)
    -> Result<CommitResult> {
  const auto *Response = std::get_if<HttpResponseReceived>(&Outcome);
  bool Applied = Response && Response->Status == Ok;
  if (!Applied && !(Response && Response->Status == Conflict))
    return httpCallError(Operation, Outcome, true);
  try {
    auto Json = value::parse(Response->Body);
    if (Applied)
      return CommitResult(transactionCommittedFromJson(Json, WriteCount));
    return CommitResult(transactionConflictFromJson(Json));
  } catch (const std::exception &Failure) {
    return malformedResponseError(Operation, Failure.what(), Applied);
  }
}

} // namespace

auto HttpTableService::create(const std::string &Address, Milliseconds Timeout,
                              Metrics &Registry)
    -> Result<std::unique_ptr<HttpTableService>> {
  BOOST_OUTCOME_TRY(checkHttpAddress("table service address", Address));
  BOOST_OUTCOME_TRY(Channel, HttpChannel::create("table_service", Registry));
  return std::unique_ptr<HttpTableService>(
      new HttpTableService(Address, Timeout, Registry, std::move(Channel)));
}

HttpTableService::HttpTableService(std::string Address, Milliseconds Timeout,
                                   Metrics &Registry,
                                   std::unique_ptr<HttpChannel> Channel)
    : Address(std::move(Address)), Timeout(Timeout), Registry(Registry),
      Channel(std::move(Channel)) {}

HttpTableService::~HttpTableService() = default;

auto HttpTableService::read(const std::string &Table, const std::string &Key)
    -> Result<std::optional<TableRow>> {
  HttpOutcome Outcome = Channel->call(
      {.Address = Address,
       .Method = "GET",
       .Path = "/v1/rows/" + percentEncode(Table) + "/" + percentEncode(Key),
       .Timeout = Timeout});
  std::string Operation = "read of row " + Table + "/" + Key + " at " + Address;
  const auto *Response = std::get_if<HttpResponseReceived>(&Outcome);
  if (Response && Response->Status == NotFound)
    return std::optional<TableRow>();
  if (!Response || Response->Status != Ok)
    return httpCallError(Operation, Outcome, false);
  try {
    return std::optional(rowFromJson(Key, value::parse(Response->Body)));
  } catch (const std::exception &Failure) {
    return malformedResponseError(Operation, Failure.what(), false);
  }
}

auto HttpTableService::changes(const std::string &Table, std::uint64_t Since)
    -> Result<TableChanges> {
  HttpOutcome Outcome =
      Channel->call({.Address = Address,
                     .Method = "GET",
                     .Path = "/v1/rows/" + percentEncode(Table) +
                             "?since=" + std::to_string(Since),
                     .Timeout = Timeout});
  std::string Operation = "changes of table " + Table + " at " + Address;
  const auto *Response = std::get_if<HttpResponseReceived>(&Outcome);
  if (!Response || Response->Status != Ok)
    return httpCallError(Operation, Outcome, false);
  try {
    auto Json = value::parse(Response->Body);
    TableChanges Changes;
    Changes.Revision = unsignedField(Json, "revision");
    for (const value &Row : Json.at("rows").as_array())
      Changes.Rows.push_back(rowFromJson(Row.at("key").as_string(), Row));
    return Changes;
  } catch (const std::exception &Failure) {
    return malformedResponseError(Operation, Failure.what(), false);
  }
}

auto HttpTableService::commit(const TableTransaction &Transaction)
    -> Result<CommitResult> {
  TimePoint Deadline = Clock::now() + Timeout;
  std::string Operation = "commit " + Transaction.WriteId + " at " + Address;
  std::string Body = toJson(Transaction).serialize();
  auto Attempt = [&](Milliseconds Limit) {
    return parseCommitResponse(
        Operation,
        Channel->call({.Address = Address,
                       .Method = "POST",
                       .Path = "/v1/commit",
                       .Headers = {{"Content-Type", "application/json"}},
                       .Body = Body,
                       .Timeout = Limit}),
        Transaction.Writes.size());
  };
  auto First = Attempt(Timeout / 2);
  if (First.has_value() || First.error().kind() != ErrorKind::Timeout)
    return First;
  Registry.count("table_commit_repeats_total");
  std::this_thread::sleep_for(retryJitter(Timeout));
  auto Second = Attempt(
      std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now()));
  if (Second.has_value())
    return Second;
  // The first attempt may have taken effect even if the second was not sent, so
  // the error is Timeout whatever the kind of the second error.
  return Error::make(ErrorKind::Timeout, Second.error().place(),
                     Second.error().detail(),
                     "repeat the commit with the same write id; it may have "
                     "taken effect");
}

} // namespace jayramp
