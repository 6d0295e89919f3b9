#pragma once

#include "Net/HttpClient.h"
#include "Relay/RelayTransport.h"
#include "Relay/RowNotice.h"

#include <functional>
#include <string>

namespace jayramp::relay {

/// HTTP path of relayed store calls on the internal server of an entry host.
inline constexpr const char *RelayPath = "/relay";
/// HTTP path of row notices on the internal server of an entry host.
inline constexpr const char *RowNoticePath = "/notice";

/// HTTP path of shard offers on the internal server of an entry host.
inline constexpr const char *ShardOfferPath = "/offer";

/// Sends relayed calls, row notices and shard offers to the internal HTTP port
/// of peers.
class HttpRelayTransport : public RelayTransport {
public:
  explicit HttpRelayTransport(net::HttpClient &Client) : Client(Client) {}

  auto call(const std::string &Address, const RelayCall &Call, Callback Done)
      -> void override;
  /// Sends \p Notice once, without retries and without reporting the result.
  auto sendRowNotice(const std::string &Address, const RowNotice &Notice)
      -> void;
  /// Asks the host at \p Address whether it would take \p Shard over now.
  /// Passes false to \p Done if it refuses or does not answer.
  auto offerShard(const std::string &Address, const std::string &Shard,
                  std::function<void(bool Accepted)> Done) -> void;

private:
  net::HttpClient &Client;
};

} // namespace jayramp::relay
