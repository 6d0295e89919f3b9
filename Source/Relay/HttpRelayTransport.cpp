#include "Relay/HttpRelayTransport.h"

#include "Relay/RelayCodec.h"

#include <utility>

namespace jayramp::relay {

namespace {

/// After this time the row reaches the owner sooner through the change feed.
constexpr Milliseconds NoticeTimeout{500};
constexpr Milliseconds OfferTimeout{500};

auto makePostRequest(const char *Path, std::string Body) -> net::HttpRequest {
  return {"POST",
          Path,
          {{"Content-Type", "application/x-protobuf"}},
          std::move(Body)};
}

auto changeWaitOf(const RelayCall &Call) -> Milliseconds {
  const auto *Query = std::get_if<ChangesQuery>(&Call.Operation);
  return Query ? Query->Wait : Milliseconds(0);
}

} // namespace

auto HttpRelayTransport::call(const std::string &Address, const RelayCall &Call,
                              Callback Done) -> void {
  Client.call(Address, makePostRequest(RelayPath, encodeRelayCall(Call)),
              Call.Timeout + changeWaitOf(Call),
              [this, Address, Done = std::move(Done)](
                  const Result<net::HttpResponse> &Response) {
                if (!Response || Response.value().Status != 200) {
                  // Other idle connections to this peer may be dead too.
                  Client.closeIdleConnections(Address);
                  Done(std::nullopt);
                  return;
                }
                const auto Reply = decodeRelayReply(Response.value().Body);
                if (Reply)
                  Done(Reply.value());
                else
                  Done(std::nullopt);
              });
}

auto HttpRelayTransport::sendRowNotice(const std::string &Address,
                                       const RowNotice &Notice) -> void {
  Client.call(Address, makePostRequest(RowNoticePath, encodeRowNotice(Notice)),
              NoticeTimeout,
              [this, Address](const Result<net::HttpResponse> &Response) {
                // A lost notice only delays the row: the change feed
                // delivers it as well.
                if (!Response)
                  Client.closeIdleConnections(Address);
              });
}

auto HttpRelayTransport::offerShard(const std::string &Address,
                                    const std::string &Shard,
                                    std::function<void(bool)> Done) -> void {
  Client.call(
      Address, {"POST", ShardOfferPath, {}, Shard}, OfferTimeout,
      [Done = std::move(Done)](const Result<net::HttpResponse> &Response) {
        Done(Response && Response.value().Status == 200);
      });
}

} // namespace jayramp::relay
