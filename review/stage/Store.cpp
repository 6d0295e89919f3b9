#include "Store.h"

#include <algorithm>
#include <chrono>

namespace jayramp::review {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxEntries = 100;
constexpr std::size_t MaxCallBytes = 1'000'000;
constexpr std::size_t MaxPage = 500;
constexpr std::size_t HistoryLength = 200'000;
constexpr auto TransactionTime = 8ms;
constexpr auto ReadTime = 4ms;

const std::string Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

auto encodeBase64(const std::string &Bytes) -> std::string {
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Block = 0;
    const auto Left = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Block =
          Block << 8U |
          (Index < Left ? static_cast<unsigned char>(Bytes[At + Index]) : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += Index <= Left ? Digits[Block >> (18U - 6U * Index) & 63U] : '=';
  }
  return Text;
}

/// Returns the number of bytes that a text in base64 stands for.
auto decodedSize(const std::string &Text) -> std::size_t {
  const auto Padding = std::count(Text.begin(), Text.end(), '=');
  return Text.size() / 4 * 3 - static_cast<std::size_t>(Padding);
}

auto nowMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

auto errorOf(int Status, const char *Text) -> Response {
  return {Status, json{{"error", Text}}.dump()};
}

} // namespace

Store::Store(const std::string &Ip)
    : Ip(Ip),
      Server(std::make_unique<HttpServer>(
          Ip, 0, [this](const Request &Message) { return handle(Message); })) {}

auto Store::address() const -> std::string {
  return Ip + ":" + std::to_string(Server->port());
}

auto Store::put(const std::string &Table, const std::string &Name,
                const std::string &Value) -> void {
  const auto Encoded = encodeBase64(Value);
  const std::scoped_lock Lock(Guard);
  apply({Table, "", Name}, &Encoded, ++Version);
  Changed.notify_all();
}

auto Store::remove(const std::string &Table, const std::string &Name) -> void {
  const std::scoped_lock Lock(Guard);
  if (!Rows.contains({Table, "", Name}))
    return;
  apply({Table, "", Name}, nullptr, ++Version);
  Changed.notify_all();
}

auto Store::refusedForSize() -> std::size_t {
  const std::scoped_lock Lock(Guard);
  return RefusedCount;
}

auto Store::largestValue() -> std::size_t {
  const std::scoped_lock Lock(Guard);
  return Largest;
}

auto Store::stop() -> void {
  {
    const std::scoped_lock Lock(Guard);
    Stopped = true;
    Changed.notify_all();
  }
  Server->stop();
}

auto Store::handle(const Request &Message) -> std::optional<Response> {
  const auto Path = Message.path();
  if (Path == "/rows-tx")
    return transact(Message.Body);
  if (Path == "/rows-get")
    return read(Message);
  if (Path == "/rows-feed")
    return feed(Message);
  return errorOf(404, "no such call");
}

auto Store::apply(const Key &Name, const std::string *Value, std::uint64_t Next)
    -> void {
  Change Entry{Name, {Value ? *Value : "", Next}, Value == nullptr};
  if (Value)
    Rows[Name] = Entry.Content;
  else
    Rows.erase(Name);
  History.push_back(std::move(Entry));
  if (History.size() > HistoryLength)
    History.pop_front();
}

auto Store::rowJson(const Key &Name, const Row &Content) const -> json {
  const auto &[Table, Part, Text] = Name;
  return {{"table", Table},
          {"part", Part},
          {"key", Text},
          {"value", Content.Value},
          {"ver", Content.Version}};
}

auto Store::transact(const std::string &Body) -> Response {
  const auto Call = json::parse(Body, nullptr, false);
  if (!Call.is_object())
    return errorOf(400, "not an object");
  const auto KeyOf = [](const json &Entry) {
    return Key{Entry.value("table", ""), Entry.value("part", ""),
               Entry.value("key", "")};
  };
  const auto List = [&Call](const char *Name) {
    return Call.contains(Name) ? Call[Name] : json::array();
  };
  const auto Conditions = List("expected-rev");
  const auto Writes = List("set-keys");
  const auto Removals = List("remove");
  std::string Part;
  std::size_t Size = 0;
  for (const auto *Entries : {&Conditions, &Writes, &Removals})
    for (const auto &Entry : *Entries)
      Part = Entry.value("part", "");
  for (const auto &Write : Writes)
    Size = std::max(Size, decodedSize(Write.value("value", "")));
  std::mutex *Turn = nullptr;
  {
    const std::scoped_lock Lock(Guard);
    Largest = std::max(Largest, Size);
    if (Size > RowBytes || Body.size() > MaxCallBytes ||
        Conditions.size() + Writes.size() + Removals.size() > MaxEntries) {
      ++RefusedCount;
      return errorOf(400, "too large");
    }
    Turn = &Parts[Part];
  }
  const std::scoped_lock OneAtATime(*Turn);
  std::this_thread::sleep_for(TransactionTime);
  const std::scoped_lock Lock(Guard);
  bool Holds = true;
  auto Current = json::array();
  for (const auto &Condition : Conditions) {
    const auto Name = KeyOf(Condition);
    const auto Found = Rows.find(Name);
    const auto Present = Found == Rows.end() ? 0 : Found->second.Version;
    Holds = Holds && Present == Condition.value("ver", std::uint64_t{0});
    if (Found != Rows.end())
      Current.push_back(rowJson(Name, Found->second));
  }
  if (!Holds)
    return {
        412,
        json{{"rows", Current}, {"ver", Version}, {"now-ms", nowMs()}}.dump()};
  ++Version;
  for (const auto &Write : Writes) {
    const auto Value = Write.value("value", "");
    apply(KeyOf(Write), &Value, Version);
  }
  for (const auto &Entry : Removals)
    if (Rows.contains(KeyOf(Entry)))
      apply(KeyOf(Entry), nullptr, Version);
  Changed.notify_all();
  return {200, json{{"ver", Version}, {"now-ms", nowMs()}}.dump()};
}

auto Store::read(const Request &Message) -> Response {
  std::this_thread::sleep_for(ReadTime);
  const auto Table = Message.parameter("table");
  const auto Part = Message.parameter("part");
  const auto To = Message.parameter("to");
  const auto Limit = Message.parameter("limit");
  const auto MaxRows = Limit.empty()
                           ? MaxPage
                           : std::min<std::size_t>(MaxPage, std::stoul(Limit));
  const std::scoped_lock Lock(Guard);
  auto Found = json::array();
  bool More = false;
  std::size_t Bytes = 0;
  for (auto Next = Rows.lower_bound({Table, Part, Message.parameter("from")});
       Next != Rows.end(); ++Next) {
    const auto &[RowTable, RowPart, Name] = Next->first;
    if (RowTable != Table || RowPart != Part || (!To.empty() && Name >= To))
      break;
    Bytes += Next->second.Value.size();
    if (Found.size() >= MaxRows || (Bytes > MaxCallBytes && !Found.empty())) {
      More = true;
      break;
    }
    Found.push_back(rowJson(Next->first, Next->second));
  }
  return {200, json{{"rows", Found},
                    {"has-more", More},
                    {"ver", Version},
                    {"now-ms", nowMs()}}
                   .dump()};
}

auto Store::feed(const Request &Message) -> Response {
  const auto Table = Message.parameter("table");
  const auto After = std::stoull(Message.parameter("after"));
  const auto Wait =
      std::chrono::milliseconds(std::stol(Message.parameter("wait-ms")));
  const auto Until = std::chrono::steady_clock::now() + Wait;
  std::this_thread::sleep_for(ReadTime);
  std::unique_lock Lock(Guard);
  while (true) {
    std::map<Key, const Change *> Latest;
    for (auto Next = History.rbegin();
         Next != History.rend() && Next->Content.Version > After; ++Next)
      if (std::get<0>(Next->Name) == Table)
        Latest.emplace(Next->Name, &*Next);
    if (!Latest.empty() || Stopped ||
        std::chrono::steady_clock::now() >= Until) {
      std::vector<const Change *> Ordered;
      for (const auto &[Name, Each] : Latest)
        Ordered.push_back(Each);
      std::sort(Ordered.begin(), Ordered.end(),
                [](const auto *Left, const auto *Right) {
                  return Left->Content.Version < Right->Content.Version;
                });
      auto Found = json::array();
      for (const auto *Each : Ordered) {
        auto Entry = rowJson(Each->Name, Each->Content);
        if (Each->Removed) {
          Entry.erase("value");
          Entry["tombstone"] = true;
        }
        Found.push_back(std::move(Entry));
      }
      return {
          200,
          json{{"rows", Found}, {"ver", Version}, {"now-ms", nowMs()}}.dump()};
    }
    Changed.wait_until(Lock, Until);
  }
}

} // namespace jayramp::review
