#pragma once

#include "Http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace review {

/// Stand-in of the platform's metadata store: rows in tables and partitions,
/// transactions with conditions, ranges and change feeds. It keeps its whole
/// history and answers after the times that the settings name.
class StoreStandIn {
public:
  StoreStandIn();

  auto address() const -> const std::string & { return Address; }
  /// Writes a row with an empty partition, as the operator and the workers do.
  /// Has no effect while the store is down.
  auto put(const std::string &Table, const std::string &Key,
           const std::string &Value) -> void;
  /// Removes such a row. Has no effect while the store is down.
  auto remove(const std::string &Table, const std::string &Key) -> void;
  /// Which partitions are unavailable. Their calls are answered with 503, which
  /// means that nothing was done.
  enum class Outage { None, SomePartitions, All };
  auto setOutage(Outage Next) -> void;
  /// Removes all rows of a table, as the store does with the entries of workers
  /// that it has not heard of for three heartbeat intervals.
  auto expireRows(const std::string &Table) -> void;

private:
  /// Table, partition and key.
  using RowKey = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string Value; ///< Base64.
    std::uint64_t Version = 0;
    bool Deleted = false;
  };

  auto handle(const HttpRequest &Request) -> std::optional<HttpResponse>;
  auto transact(const std::string &Body) -> HttpResponse;
  auto readRange(const std::string &Target) -> HttpResponse;
  auto readFeed(const std::string &Target) -> HttpResponse;
  auto set(const RowKey &Key, std::optional<std::string> Value) -> void;
  /// SomePartitions are those whose names end in 3.
  auto isDown(const std::string &Partition) const -> bool;
  auto versionOf(const RowKey &Key) const -> std::uint64_t;

  std::string Address;
  std::mutex Mutex; ///< Guards all members below.
  std::condition_variable Changed;
  /// Removed rows stay, marked as deleted, for the change feeds.
  std::map<RowKey, Row> Rows;
  std::uint64_t Version = 0;
  Outage Current = Outage::None;
};

} // namespace review
