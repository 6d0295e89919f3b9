#include "StoreStandIn.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds TransactionTime{8};
constexpr std::chrono::milliseconds ReadTime{4};

auto encodeBase64(const std::string &Bytes) -> std::string {
  static const std::string Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                    "abcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t Position = 0; Position < Bytes.size(); Position += 3) {
    const auto Count = std::min<std::size_t>(3, Bytes.size() - Position);
    std::uint32_t Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group =
          Group << 8U |
          (Index < Count ? static_cast<unsigned char>(Bytes[Position + Index])
                         : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += Index <= Count ? Digits[Group >> (18U - 6U * Index) & 63U] : '=';
  }
  return Text;
}

auto steadyMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

} // namespace

StoreStandIn::StoreStandIn()
    : Address(serveHttp(
          [this](const HttpRequest &Request) { return handle(Request); })) {}

auto StoreStandIn::put(const std::string &Table, const std::string &Key,
                       const std::string &Value) -> void {
  std::lock_guard Lock(Mutex);
  if (isDown(""))
    return;
  ++Version;
  set({Table, "", Key}, encodeBase64(Value));
}

auto StoreStandIn::remove(const std::string &Table, const std::string &Key)
    -> void {
  std::lock_guard Lock(Mutex);
  if (isDown("") || versionOf({Table, "", Key}) == 0)
    return;
  ++Version;
  set({Table, "", Key}, std::nullopt);
}

auto StoreStandIn::setOutage(Outage Next) -> void {
  std::lock_guard Lock(Mutex);
  Current = Next;
  Changed.notify_all();
}

auto StoreStandIn::isDown(const std::string &Partition) const -> bool {
  if (Current == Outage::SomePartitions)
    return !Partition.empty() && Partition.back() == '3';
  return Current == Outage::All;
}

auto StoreStandIn::expireRows(const std::string &Table) -> void {
  std::lock_guard Lock(Mutex);
  ++Version;
  for (auto Next = Rows.lower_bound(RowKey{Table, "", ""});
       Next != Rows.end() && std::get<0>(Next->first) == Table; ++Next)
    if (!Next->second.Deleted)
      set(Next->first, std::nullopt);
}

auto StoreStandIn::set(const RowKey &Key, std::optional<std::string> Value)
    -> void {
  const bool Deleted = !Value;
  Rows[Key] = {std::move(Value).value_or(""), Version, Deleted};
  Changed.notify_all();
}

auto StoreStandIn::versionOf(const RowKey &Key) const -> std::uint64_t {
  const auto Found = Rows.find(Key);
  return Found == Rows.end() || Found->second.Deleted ? 0
                                                      : Found->second.Version;
}

auto StoreStandIn::handle(const HttpRequest &Request)
    -> std::optional<HttpResponse> {
  const auto Path = Request.Target.substr(0, Request.Target.find('?'));
  if (Path == "/rows-tx") {
    std::this_thread::sleep_for(TransactionTime);
    return transact(Request.Body);
  }
  std::this_thread::sleep_for(ReadTime);
  if (Path == "/rows-get")
    return readRange(Request.Target);
  if (Path == "/rows-feed")
    return readFeed(Request.Target);
  return HttpResponse{404, "{}"};
}

auto StoreStandIn::transact(const std::string &Body) -> HttpResponse {
  const auto Change = json::parse(Body);
  const auto KeyOf = [](const json &Entry) {
    return RowKey{Entry.at("table"), Entry.at("part"), Entry.at("key")};
  };
  std::lock_guard Lock(Mutex);
  for (const auto *Part : {"set-keys", "remove", "expected-rev"})
    for (const auto &Entry : Change.value(Part, json::array()))
      if (isDown(Entry.at("part")))
        return {503, "{}"};
  bool Holds = true;
  json Current = json::array();
  for (const auto &Entry : Change.value("expected-rev", json::array())) {
    const auto Key = KeyOf(Entry);
    const auto Actual = versionOf(Key);
    Holds = Holds && Actual == Entry.at("ver").get<std::uint64_t>();
    if (Actual != 0)
      Current.push_back({{"table", std::get<0>(Key)},
                         {"part", std::get<1>(Key)},
                         {"key", std::get<2>(Key)},
                         {"value", Rows.at(Key).Value},
                         {"ver", Actual}});
  }
  if (!Holds)
    return {412,
            json{{"rows", Current}, {"ver", Version}, {"now-ms", steadyMs()}}
                .dump()};
  ++Version;
  for (const auto &Entry : Change.value("set-keys", json::array()))
    set(KeyOf(Entry), Entry.at("value").get<std::string>());
  for (const auto &Entry : Change.value("remove", json::array()))
    if (versionOf(KeyOf(Entry)) != 0)
      set(KeyOf(Entry), std::nullopt);
  return {200, json{{"ver", Version}, {"now-ms", steadyMs()}}.dump()};
}

auto StoreStandIn::readRange(const std::string &Target) -> HttpResponse {
  const auto From = queryValue(Target, "from");
  const auto To = queryValue(Target, "to");
  const RowKey Begin{queryValue(Target, "table"), queryValue(Target, "part"),
                     From};
  std::lock_guard Lock(Mutex);
  if (isDown(std::get<1>(Begin)))
    return {503, "{}"};
  json Found = json::array();
  for (auto Next = Rows.lower_bound(Begin); Next != Rows.end(); ++Next) {
    const auto &[Table, Partition, Key] = Next->first;
    if (Table != std::get<0>(Begin) || Partition != std::get<1>(Begin) ||
        (!To.empty() && Key >= To))
      break;
    if (!Next->second.Deleted)
      Found.push_back({{"table", Table},
                       {"part", Partition},
                       {"key", Key},
                       {"value", Next->second.Value},
                       {"ver", Next->second.Version}});
  }
  return {200, json{{"rows", Found},
                    {"has-more", false},
                    {"ver", Version},
                    {"now-ms", steadyMs()}}
                   .dump()};
}

auto StoreStandIn::readFeed(const std::string &Target) -> HttpResponse {
  const auto Table = queryValue(Target, "table");
  const auto After =
      std::strtoull(queryValue(Target, "after").c_str(), nullptr, 10);
  const std::chrono::milliseconds Wait(
      std::strtoll(queryValue(Target, "wait-ms").c_str(), nullptr, 10));
  const auto Until = std::chrono::steady_clock::now() + Wait;
  std::unique_lock Lock(Mutex);
  while (true) {
    if (Current == Outage::All)
      return {503, "{}"};
    std::map<std::uint64_t, json> ByVersion;
    json Found = json::array();
    for (auto Next = Rows.lower_bound(RowKey{Table, "", ""});
         Next != Rows.end() && std::get<0>(Next->first) == Table; ++Next) {
      if (Next->second.Version <= After)
        continue;
      json Entry{{"table", Table},
                 {"part", std::get<1>(Next->first)},
                 {"key", std::get<2>(Next->first)},
                 {"ver", Next->second.Version}};
      if (Next->second.Deleted)
        Entry["tombstone"] = true;
      else
        Entry["value"] = Next->second.Value;
      auto &Rows = ByVersion.try_emplace(Next->second.Version, json::array())
                       .first->second;
      Rows.push_back(std::move(Entry));
    }
    for (auto &[Number, Entries] : ByVersion)
      for (auto &Entry : Entries)
        Found.push_back(std::move(Entry));
    if (!Found.empty() || std::chrono::steady_clock::now() >= Until)
      return {200,
              json{{"rows", Found}, {"ver", Version}, {"now-ms", steadyMs()}}
                  .dump()};
    Changed.wait_until(Lock, Until);
  }
}

} // namespace review
