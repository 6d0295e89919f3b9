#include "Relay/RelayServer.h"

#include "Base/EventLog.h"
#include "Base/Overloaded.h"
#include "Relay/RelayCodec.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace jayramp::relay {

namespace {

/// Left for the answer to reach the peer.
constexpr Milliseconds AnswerMargin{20};

/// Sends any outcome of a store call as a reply.
template <typename Outcome>
auto replyWith(net::HttpServer::Responder Respond)
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
      std::max(Call.value().Timeout - AnswerMargin, AnswerMargin);
  std::visit(Overloaded{[&](const store::RowTransaction &Change) {
                          Direct.transact(
                              Change, Timeout,
                              replyWith<store::TransactionOutcome>(Respond));
                        },
                        [&](store::RangeQuery &Query) {
                          Direct.read(std::move(Query), Timeout,
                                      replyWith<store::ReadOutcome>(Respond));
                        },
                        [&](ChangesQuery &Query) {
                          Direct.changes(
                              std::move(Query.Table), Query.After, Query.Wait,
                              replyWith<store::ChangesOutcome>(Respond));
                        }},
             Call.value().Operation);
}

} // namespace jayramp::relay
