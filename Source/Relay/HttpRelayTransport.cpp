#include "Relay/HttpRelayTransport.h"

#include "Relay/RelayCodec.h"

#include <utility>

namespace jayramp::relay {

namespace {

/// The change feed is the faster way after this.
constexpr Milliseconds NoticeTimeout{500};

auto requestTo(const char *Path, std::string Body) -> net::HttpRequest {
  return {"POST",
          Path,
          {{"Content-Type", "application/x-protobuf"}},
          std::move(Body)};
}

auto waitOf(const RelayCall &Call) -> Milliseconds {
  const auto *Query = std::get_if<ChangesQuery>(&Call.Operation);
  return Query ? Query->Wait : Milliseconds(0);
}

} // namespace

auto HttpRelayTransport::call(const std::string &Address, const RelayCall &Call,
                              Callback Done) -> void {
  Client.call(Address, requestTo(RelayPath, encodeRelayCall(Call)),
              Call.Timeout + waitOf(Call),
              [this, Address, Done = std::move(Done)](
                  const Result<net::HttpResponse> &Answer) {
                if (!Answer || Answer.value().Status != 200) {
                  // Other kept connections may have gone silent too.
                  Client.closeIdleConnections(Address);
                  Done(std::nullopt);
                  return;
                }
                const auto Reply = decodeRelayReply(Answer.value().Body);
                if (Reply)
                  Done(Reply.value());
                else
                  Done(std::nullopt);
              });
}

auto HttpRelayTransport::sendRowNotice(const std::string &Address,
                                       const RowNotice &Notice) -> void {
  Client.call(Address, requestTo(RowNoticePath, encodeRowNotice(Notice)),
              NoticeTimeout,
              [this, Address](const Result<net::HttpResponse> &Answer) {
                // The owner hears of the row by the change feed in any case.
                if (!Answer)
                  Client.closeIdleConnections(Address);
              });
}

} // namespace jayramp::relay
