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

auto encode(const std::string &Segment) -> std::string {
  return web::uri::encode_data_string(Segment);
}

auto number(const value &Json, const char *Field) -> std::uint64_t {
  return Json.at(Field).as_number().to_uint64();
}

auto rowFromJson(std::string Key, const value &Json) -> TableRow {
  return {std::move(Key), number(Json, "version"),
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

auto committedFromJson(const value &Json, std::size_t WriteCount)
    -> TransactionCommitted {
  TransactionCommitted Applied;
  for (const value &Version : Json.at("versions").as_array())
    Applied.Versions.push_back(Version.as_number().to_uint64());
  if (Applied.Versions.size() != WriteCount)
    throw std::runtime_error("the number of versions is wrong");
  return Applied;
}

auto conflictedFromJson(const value &Json) -> TransactionConflict {
  TransactionConflict Refused;
  for (const value &Entry : Json.at("conflicts").as_array())
    Refused.Conflicts.push_back(
        {Entry.at("table").as_string(),
         rowFromJson(Entry.at("key").as_string(), Entry)});
  if (Refused.Conflicts.empty())
    throw std::runtime_error("no conflict is named");
  return Refused;
}

/// A random part of a tenth of \p Budget; spreads the repeats of many hosts.
auto jitter(Milliseconds Budget) -> Milliseconds {
  thread_local std::minstd_rand Generator{std::random_device{}()};
  std::uniform_int_distribution<Milliseconds::rep> Distribution(
      0, Budget.count() / 10);
  return Milliseconds(Distribution(Generator));
}

auto readCommitAnswer(const std::string &Operation, const HttpOutcome &Outcome,
                      std::size_t WriteCount) -> Result<CommitResult> {
  const auto *Answer = std::get_if<HttpResponseReceived>(&Outcome);
  bool Applied = Answer && Answer->Status == Ok;
  if (!Applied && !(Answer && Answer->Status == Conflict))
    return httpCallError(Operation, Outcome, true);
  try {
    auto Json = value::parse(Answer->Body);
    if (Applied)
      return CommitResult(committedFromJson(Json, WriteCount));
    return CommitResult(conflictedFromJson(Json));
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
  HttpOutcome Outcome =
      Channel->call({.Address = Address,
                     .Method = "GET",
                     .Path = "/v1/rows/" + encode(Table) + "/" + encode(Key),
                     .Timeout = Timeout});
  std::string Operation = "read of row " + Table + "/" + Key + " at " + Address;
  const auto *Answer = std::get_if<HttpResponseReceived>(&Outcome);
  if (Answer && Answer->Status == NotFound)
    return std::optional<TableRow>();
  if (!Answer || Answer->Status != Ok)
    return httpCallError(Operation, Outcome, false);
  try {
    return std::optional(rowFromJson(Key, value::parse(Answer->Body)));
  } catch (const std::exception &Failure) {
    return malformedResponseError(Operation, Failure.what(), false);
  }
}

auto HttpTableService::changes(const std::string &Table, std::uint64_t Since)
    -> Result<TableChanges> {
  HttpOutcome Outcome = Channel->call(
      {.Address = Address,
       .Method = "GET",
       .Path = "/v1/rows/" + encode(Table) + "?since=" + std::to_string(Since),
       .Timeout = Timeout});
  std::string Operation = "changes of table " + Table + " at " + Address;
  const auto *Answer = std::get_if<HttpResponseReceived>(&Outcome);
  if (!Answer || Answer->Status != Ok)
    return httpCallError(Operation, Outcome, false);
  try {
    auto Json = value::parse(Answer->Body);
    TableChanges Changes;
    Changes.Revision = number(Json, "revision");
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
  auto Try = [&](Milliseconds Limit) {
    return readCommitAnswer(
        Operation,
        Channel->call({.Address = Address,
                       .Method = "POST",
                       .Path = "/v1/commit",
                       .Headers = {{"Content-Type", "application/json"}},
                       .Body = Body,
                       .Timeout = Limit}),
        Transaction.Writes.size());
  };
  auto First = Try(Timeout / 2);
  if (First.has_value() || First.error().kind() != ErrorKind::Timeout)
    return First;
  Registry.count("table_commit_repeats_total");
  std::this_thread::sleep_for(jitter(Timeout));
  auto Second =
      Try(std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now()));
  if (Second.has_value())
    return Second;
  // The first try may have taken effect, whatever became of the second.
  return Error::make(ErrorKind::Timeout, Second.error().place(),
                     Second.error().detail(),
                     "repeat the commit with the same write id");
}

} // namespace jayramp
