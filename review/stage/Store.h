#pragma once

#include "Http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <tuple>

namespace jayramp::review {

/// The platform's metadata store: rows, transactions and the change feed, with
/// the times and limits that the settings name.
class Store {
public:
  explicit Store(const std::string &Ip);

  auto address() const -> std::string;
  /// Writes a row with an empty part, as the operator and the workers do.
  auto put(const std::string &Table, const std::string &Key,
           const std::string &Value) -> void;
  auto remove(const std::string &Table, const std::string &Key) -> void;
  /// Returns the number of transactions that were refused for their size.
  auto refusedForSize() -> std::size_t;
  /// Returns the size of the largest value that was written or refused.
  auto largestValue() -> std::size_t;
  auto stop() -> void;

  static constexpr std::size_t RowBytes = 65536;

private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string Value; ///< In base64.
    std::uint64_t Version = 0;
  };
  struct Change {
    Key Name;
    Row Content;
    bool Removed = false;
  };

  auto handle(const Request &Message) -> std::optional<Response>;
  auto transact(const std::string &Body) -> Response;
  auto read(const Request &Message) -> Response;
  auto feed(const Request &Message) -> Response;
  /// Needs the lock.
  auto apply(const Key &Name, const std::string *Value, std::uint64_t Version)
      -> void;
  auto rowJson(const Key &Name, const Row &Content) const -> nlohmann::json;

  std::string Ip;
  std::mutex Guard;
  std::condition_variable Changed;
  std::map<Key, Row> Rows;
  std::deque<Change> History;
  std::map<std::string, std::mutex> Parts;
  std::uint64_t Version = 1;
  std::size_t RefusedCount = 0;
  std::size_t Largest = 0;
  bool Stopped = false;
  std::unique_ptr<HttpServer> Server;
};

} // namespace jayramp::review
