#pragma once

#include "Net/HttpServer.h"
#include "Relay/RelayCall.h"
#include "Relay/RelayPolicy.h"

namespace jayramp::relay {

/// Makes store calls on behalf of peers to which the store is unavailable, or
/// for which this host collects transactions.
class RelayServer {
public:
  /// \p DirectStore must not be a RelayingStore, so that a call is relayed at
  /// most once.
  RelayServer(store::RowStore &DirectStore, const RelayPolicy &Policy)
      : DirectStore(DirectStore), Policy(Policy) {}

  /// Answers a relayed call: 200 with an encoded RelayReply, or 400 if the body
  /// cannot be decoded.
  auto handle(const net::HttpRequest &Request,
              net::HttpServer::Responder Respond) -> void;

private:
  store::RowStore &DirectStore;
  const RelayPolicy &Policy;
};

} // namespace jayramp::relay
