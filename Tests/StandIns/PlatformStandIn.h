#pragma once

#include "FaultyHttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cpprest/json.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace jayramp {

/// An in-memory implementation of the table service, the host list and the
/// object store of the platform, for tests.
class PlatformStandIn {
public:
  PlatformStandIn(boost::asio::io_context &Context,
                  const boost::asio::ip::tcp::endpoint &Endpoint,
                  std::uint32_t Seed);

  auto endpoint() const -> boost::asio::ip::tcp::endpoint {
    return Server.endpoint();
  }

private:
  struct Row {
    std::uint64_t Version = 0;
    std::uint64_t Revision = 0;
    std::string WriteId;
    std::string Value;
  };

  struct Table {
    std::map<std::string, Row> Rows;
    /// The key of each row by the revision of its last write.
    std::map<std::uint64_t, std::string> KeysByRevision;
  };

  auto handleRequest(const StandInRequest &Request) -> StandInAnswer;
  auto readRow(const std::string &TableName, const std::string &Key)
      -> StandInAnswer;
  auto readTable(const std::string &TableName, const std::string &Query)
      -> StandInAnswer;
  /// Applies a transaction, unless a row has another version than expected. A
  /// repeat with the same write id returns the first response.
  auto commit(const std::string &Body) -> StandInAnswer;
  /// Returns the rows whose version differs from \p VersionField of their
  /// entry.
  auto findConflicts(const web::json::value &Entries, const char *VersionField)
      -> std::vector<web::json::value>;
  /// Writes one row and returns its new version.
  auto applyWrite(const web::json::value &Write, const std::string &WriteId)
      -> web::json::value;
  auto handleObject(const StandInRequest &Request) -> StandInAnswer;
  auto listHosts() -> StandInAnswer;
  auto handleControl(const StandInRequest &Request) -> StandInAnswer;
  /// Sets one field of a control request; returns false if it is unknown.
  auto setField(const std::string &Name, const web::json::value &Value) -> bool;
  auto recordJson() const -> web::json::value;

  std::uint64_t Revision = 0;
  std::map<std::string, Table> Tables;
  std::map<std::string, web::json::value> AppliedWrites;
  std::map<std::string, std::string> Objects;
  /// Host lists with the time, in Unix ms, from which each is returned; oldest
  /// first.
  std::deque<std::pair<std::int64_t, web::json::value>> HostLists;
  std::int64_t HostListDelayMs = 0;
  std::map<std::string, std::uint64_t> Reads;
  std::map<std::string, std::uint64_t> Writes;
  std::map<std::string, std::uint64_t> ReadsByTable;
  std::map<std::string, std::uint64_t> WritesByTable;
  FaultyHttpServer Server;
};

} // namespace jayramp
