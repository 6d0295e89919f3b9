#include "PlatformStandIn.h"

#include "StandInProcess.h"

#include <cpprest/base_uri.h>

#include <exception>
#include <vector>

namespace jayramp {

using web::json::value;

namespace {

auto startsWith(const std::string &Text, const std::string &Prefix) -> bool {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

auto countersToJson(const std::map<std::string, std::uint64_t> &Counters)
    -> value {
  auto Json = value::object();
  for (const auto &[Name, Count] : Counters)
    Json[Name] = value(Count);
  return Json;
}

auto zeroCounters(std::initializer_list<const char *> Names)
    -> std::map<std::string, std::uint64_t> {
  std::map<std::string, std::uint64_t> Counters;
  for (const char *Name : Names)
    Counters[Name] = 0;
  return Counters;
}

auto zeroReadCounters() -> std::map<std::string, std::uint64_t> {
  return zeroCounters({"row", "table", "hosts", "object"});
}

auto zeroWriteCounters() -> std::map<std::string, std::uint64_t> {
  return zeroCounters({"commit", "commit_repeated", "conflict", "object"});
}

} // namespace

PlatformStandIn::PlatformStandIn(boost::asio::io_context &Context,
                                 const boost::asio::ip::tcp::endpoint &Endpoint,
                                 std::uint32_t Seed)
    : Reads(zeroReadCounters()), Writes(zeroWriteCounters()),
      Server(
          Context, {.Endpoint = Endpoint, .Seed = Seed},
          [this](const StandInRequest &Request,
                 const FaultyHttpServer::Reply &Reply) {
            Reply(handleRequest(Request));
          },
          [this](const StandInRequest &Request,
                 const FaultyHttpServer::Reply &Reply) {
            Reply(handleControl(Request));
          }) {}

auto PlatformStandIn::handleRequest(const StandInRequest &Request)
    -> StandInAnswer {
  static const std::string RowsPath = "/v1/rows/";
  try {
    if (Request.Path == "/v1/commit" && Request.Method == "POST")
      return commit(Request.Body);
    if (Request.Path == "/v1/hosts")
      return listHosts();
    if (startsWith(Request.Path, "/v1/objects/"))
      return handleObject(Request);
    if (startsWith(Request.Path, RowsPath)) {
      std::string Rest = Request.Path.substr(RowsPath.size());
      auto Slash = Rest.find('/');
      std::string TableName = web::uri::decode(Rest.substr(0, Slash));
      if (Slash == std::string::npos)
        return readTable(TableName, Request.Query);
      return readRow(TableName, web::uri::decode(Rest.substr(Slash + 1)));
    }
  } catch (const std::exception &Failure) {
    return {400, Failure.what(), {}};
  }
  return {404, "unknown path " + Request.Path, {}};
}

auto PlatformStandIn::readRow(const std::string &TableName,
                              const std::string &Key) -> StandInAnswer {
  ++Reads["row"];
  ++ReadsByTable[TableName];
  const Table &SourceTable = Tables[TableName];
  auto Found = SourceTable.Rows.find(Key);
  if (Found == SourceTable.Rows.end())
    return {404, "no such row", {}};
  auto Json = value::object();
  Json["version"] = value(Found->second.Version);
  Json["write_id"] = value(Found->second.WriteId);
  Json["value"] = value(Found->second.Value);
  return jsonAnswer(Json);
}

auto PlatformStandIn::readTable(const std::string &TableName,
                                const std::string &Query) -> StandInAnswer {
  ++Reads["table"];
  ++ReadsByTable[TableName];
  const Table &SourceTable = Tables[TableName];
  std::uint64_t Since = 0;
  if (startsWith(Query, "since="))
    Since = std::stoull(Query.substr(Query.find('=') + 1));
  std::vector<value> Rows;
  for (auto Entry = SourceTable.KeysByRevision.upper_bound(Since);
       Entry != SourceTable.KeysByRevision.end(); ++Entry) {
    const Row &ChangedRow = SourceTable.Rows.at(Entry->second);
    auto Json = value::object();
    Json["key"] = value(Entry->second);
    Json["version"] = value(ChangedRow.Version);
    Json["write_id"] = value(ChangedRow.WriteId);
    Json["value"] = value(ChangedRow.Value);
    Rows.push_back(std::move(Json));
  }
  auto Json = value::object();
  Json["revision"] = value(Revision);
  Json["rows"] = value::array(std::move(Rows));
  return jsonAnswer(Json);
}

auto PlatformStandIn::findConflicts(const value &Entries,
                                    const char *VersionField)
    -> std::vector<value> {
  std::vector<value> Conflicts;
  for (const value &Entry : Entries.as_array()) {
    const auto &TableName = Entry.at("table").as_string();
    const auto &Key = Entry.at("key").as_string();
    const auto &Rows = Tables[TableName].Rows;
    auto Found = Rows.find(Key);
    Row Current = Found == Rows.end() ? Row() : Found->second;
    if (Current.Version == Entry.at(VersionField).as_number().to_uint64())
      continue;
    auto Conflict = value::object();
    Conflict["table"] = value(TableName);
    Conflict["key"] = value(Key);
    Conflict["version"] = value(Current.Version);
    Conflict["write_id"] = value(Current.WriteId);
    Conflict["value"] = value(Current.Value);
    Conflicts.push_back(std::move(Conflict));
  }
  return Conflicts;
}

auto PlatformStandIn::applyWrite(const value &Write, const std::string &WriteId)
    -> value {
  const auto &TableName = Write.at("table").as_string();
  const auto &Key = Write.at("key").as_string();
  ++WritesByTable[TableName];
  Table &TargetTable = Tables[TableName];
  Row &ChangedRow = TargetTable.Rows[Key];
  // Each row of a transaction gets a revision of its own. Readers still see all
  // of them or none, because no request is served in between.
  TargetTable.KeysByRevision.erase(ChangedRow.Revision);
  ChangedRow.Revision = ++Revision;
  TargetTable.KeysByRevision[ChangedRow.Revision] = Key;
  ++ChangedRow.Version;
  ChangedRow.WriteId = WriteId;
  ChangedRow.Value = Write.at("value").as_string();
  return value(ChangedRow.Version);
}

auto PlatformStandIn::commit(const std::string &Body) -> StandInAnswer {
  auto Json = value::parse(Body);
  const auto &WriteId = Json.at("write_id").as_string();
  auto EarlierCommit = AppliedWrites.find(WriteId);
  if (EarlierCommit != AppliedWrites.end()) {
    ++Writes["commit_repeated"];
    return jsonAnswer(EarlierCommit->second);
  }
  const value &WriteEntries = Json.at("writes");
  // Throws, before anything is written, if a value is missing or not a string.
  for (const value &Write : WriteEntries.as_array())
    Write.at("value").as_string();
  auto Conflicts = findConflicts(Json.at("checks"), "version");
  for (value &Conflict : findConflicts(WriteEntries, "expected_version"))
    Conflicts.push_back(std::move(Conflict));
  auto Answer = value::object();
  if (!Conflicts.empty()) {
    ++Writes["conflict"];
    Answer["conflicts"] = value::array(std::move(Conflicts));
    return jsonAnswer(Answer, 409);
  }
  std::vector<value> Versions;
  for (const value &Write : WriteEntries.as_array())
    Versions.push_back(applyWrite(Write, WriteId));
  ++Writes["commit"];
  Answer["revision"] = value(Revision);
  Answer["versions"] = value::array(std::move(Versions));
  AppliedWrites[WriteId] = Answer;
  return jsonAnswer(Answer);
}

auto PlatformStandIn::handleObject(const StandInRequest &Request)
    -> StandInAnswer {
  std::string Key =
      web::uri::decode(Request.Path.substr(std::string("/v1/objects/").size()));
  if (Request.Method == "PUT") {
    ++Writes["object"];
    Objects[Key] = Request.Body;
    return {200, "", {}};
  }
  ++Reads["object"];
  auto Found = Objects.find(Key);
  if (Found == Objects.end())
    return {404, "no such object", {}};
  return {200, Found->second, {{"Content-Type", "application/octet-stream"}}};
}

auto PlatformStandIn::listHosts() -> StandInAnswer {
  ++Reads["hosts"];
  std::int64_t Now = unixMilliseconds();
  while (HostLists.size() > 1 && HostLists[1].first <= Now)
    HostLists.pop_front();
  bool HasVisibleList = !HostLists.empty() && HostLists.front().first <= Now;
  auto Json = value::object();
  Json["hosts"] = HasVisibleList ? HostLists.front().second : value::array();
  return jsonAnswer(Json);
}

auto PlatformStandIn::handleControl(const StandInRequest &Request)
    -> StandInAnswer {
  if (Request.Path == "/record")
    return jsonAnswer(recordJson());
  return applyControl(Request.Body,
                      [this](const std::string &Name, const value &Value) {
                        return setField(Name, Value);
                      });
}

auto PlatformStandIn::setField(const std::string &Name, const value &Value)
    -> bool {
  if (Name == "host_list_lag_ms") {
    HostListDelayMs = Value.as_number().to_int64();
  } else if (Name == "hosts") {
    Value.as_array(); // Throws if it is not an array.
    HostLists.emplace_back(unixMilliseconds() + HostListDelayMs, Value);
  } else if (Name == "reset_record") {
    Reads = zeroReadCounters();
    Writes = zeroWriteCounters();
    ReadsByTable.clear();
    WritesByTable.clear();
    Server.resetRecord();
  } else {
    return Server.setFault(Name, Value);
  }
  return true;
}

auto PlatformStandIn::recordJson() const -> value {
  auto Json = value::object();
  Json["reads"] = countersToJson(Reads);
  Json["writes"] = countersToJson(Writes);
  Json["reads_by_table"] = countersToJson(ReadsByTable);
  Json["writes_by_table"] = countersToJson(WritesByTable);
  Json["lost_answers"] = value(Server.lostAnswers());
  Json["down_calls"] = value(Server.downCalls());
  Json["revision"] = value(Revision);
  return Json;
}

} // namespace jayramp
