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

/// Table service, host list and object store in memory.
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
    std::map<std::uint64_t, std::string> KeysByRevision;
  };

  auto serve(const StandInRequest &Request) -> StandInAnswer;
  auto readRow(const std::string &TableName, const std::string &Key)
      -> StandInAnswer;
  auto readTable(const std::string &TableName, const std::string &Query)
      -> StandInAnswer;
  auto commit(const std::string &Body) -> StandInAnswer;
  auto findConflicts(const web::json::value &Entries, const char *VersionField)
      -> std::vector<web::json::value>;
  auto applyWrite(const web::json::value &Write, const std::string &WriteId)
      -> web::json::value;
  auto objects(const StandInRequest &Request) -> StandInAnswer;
  auto hosts() -> StandInAnswer;
  auto control(const StandInRequest &Request) -> StandInAnswer;
  auto setField(const std::string &Name, const web::json::value &Value) -> bool;
  auto record() const -> web::json::value;

  std::uint64_t Revision = 0;
  std::map<std::string, Table> Tables;
  std::map<std::string, web::json::value> AppliedWrites;
  std::map<std::string, std::string> Objects;
  /// Host lists with the time from which each shows, oldest first.
  std::deque<std::pair<std::int64_t, web::json::value>> HostLists;
  std::int64_t HostListLag = 0;
  std::map<std::string, std::uint64_t> Reads;
  std::map<std::string, std::uint64_t> Writes;
  std::map<std::string, std::uint64_t> ReadsByTable;
  std::map<std::string, std::uint64_t> WritesByTable;
  FaultyHttpServer Server;
};

} // namespace jayramp
