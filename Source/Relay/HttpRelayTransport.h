#pragma once

#include "Net/HttpClient.h"
#include "Relay/RelayTransport.h"
#include "Relay/RowNotice.h"

namespace jayramp::relay {

/// HTTP path of relayed store calls on the internal server of an entry host.
inline constexpr const char *RelayPath = "/relay";
/// HTTP path of row notices on the internal server of an entry host.
inline constexpr const char *RowNoticePath = "/notice";

/// Sends relayed calls and row notices to the internal HTTP port of peers.
class HttpRelayTransport : public RelayTransport {
public:
  explicit HttpRelayTransport(net::HttpClient &Client) : Client(Client) {}

  auto call(const std::string &Address, const RelayCall &Call, Callback Done)
      -> void override;
  /// Sends \p Notice once, without retries and without reporting the result.
  auto sendRowNotice(const std::string &Address, const RowNotice &Notice)
      -> void;

private:
  net::HttpClient &Client;
};

} // namespace jayramp::relay
