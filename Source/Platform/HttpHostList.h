#pragma once

#include "Base/Clock.h"
#include "Platform/HostList.h"

#include <memory>
#include <string>

namespace jayramp {

class HttpChannel;
class Metrics;

/// Reads the platform's host list over HTTP and JSON. Each failed call returns
/// Unavailable.
class HttpHostList final : public HostList {
public:
  /// Creates a client. \p Address is the "IP:port" of the host list service.
  /// \p Timeout limits each call as a whole. \p Registry must outlive the
  /// client. Returns InvalidArgument if the address is malformed.
  static auto create(const std::string &Address, Milliseconds Timeout,
                     Metrics &Registry)
      -> Result<std::unique_ptr<HttpHostList>>;

  ~HttpHostList() override;

  auto hosts() -> Result<std::vector<ListedHost>> override;

private:
  HttpHostList(std::string Address, Milliseconds Timeout,
               std::unique_ptr<HttpChannel> Channel);

  std::string Address;
  Milliseconds Timeout;
  std::unique_ptr<HttpChannel> Channel;
};

} // namespace jayramp
