#include "Relay/RelayServer.h"

#include "Base/EventLog.h"
#include "Base/Overloaded.h"
#include "Relay/RelayCodec.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace jayramp::relay {

namespace {

/// Part of the peer's timeout that is reserved for the reply to reach it.
constexpr Milliseconds ReplyMargin{20};

/// Returns a callback that sends the outcome of a store call as a relay reply.
template <typename Outcome>
auto replyCallback(net::HttpServer::Responder Respond)
    -> std::function<void(Outcome)> {
  return [Respond = std::move(Respond)](Outcome Result) {
    RelayReply Reply = StoreUnavailable{};
    std::visit(
        [&](auto &Case) {
          using Kind = std::decay_t<decltype(Case)>;
          Reply.template emplace<Kind>(std::move(Case));
        },
        Result);
    Respond({200, {}, encodeRelayReply(Reply)});
  };
}

} // namespace

auto RelayServer::handle(const net::HttpRequest &Request,
                         net::HttpServer::Responder Respond) -> void {
  auto Call = decodeRelayCall(Request.Body);
  if (!Call) {
    logEvent(LogLevel::Error, "relayed-call-malformed",
             {{"error", Call.error().message()}});
    Respond({400, {}, Call.error().message()});
    return;
  }
  if (!Policy.isStoreAvailable()) {
    Respond({200, {}, encodeRelayReply(StoreUnavailable{})});
    return;
  }
  const auto Timeout =
      std::max(Call.value().Timeout - ReplyMargin, ReplyMargin);
  std::visit(
      Overloaded{[&](const store::RowTransaction &Change) {
                   DirectStore.transact(
                       Change, Timeout,
                       replyCallback<store::TransactionOutcome>(Respond));
                 },
                 [&](store::RangeQuery &Query) {
                   DirectStore.read(std::move(Query), Timeout,
                                    replyCallback<store::ReadOutcome>(Respond));
                 },
                 [&](ChangesQuery &Query) {
                   DirectStore.changes(
                       std::move(Query.Table), Query.After, Query.Wait,
                       replyCallback<store::ChangesOutcome>(Respond));
                 }},
      Call.value().Operation);
}

} // namespace jayramp::relay
