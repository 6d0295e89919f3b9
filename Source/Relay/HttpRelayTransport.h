#pragma once

#include "Net/HttpClient.h"
#include "Relay/RelayTransport.h"
#include "Relay/RowNotice.h"

namespace jayramp::relay {

/// Path of the internal server that takes relayed calls.
inline constexpr const char *RelayPath = "/relay";
/// Path that takes notices of rows.
inline constexpr const char *RowNoticePath = "/notice";

/// Calls peers over HTTP on their internal port.
class HttpRelayTransport : public RelayTransport {
public:
  explicit HttpRelayTransport(net::HttpClient &Client) : Client(Client) {}

  auto call(const std::string &Address, const RelayCall &Call, Callback Done)
      -> void override;
  /// Sends a notice once; nobody waits for it.
  auto sendRowNotice(const std::string &Address, const RowNotice &Notice)
      -> void;

private:
  net::HttpClient &Client;
};

} // namespace jayramp::relay
