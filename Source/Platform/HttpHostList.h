#pragma once

#include "Base/Clock.h"
#include "Platform/HostList.h"

#include <memory>
#include <string>

namespace jayramp {

class HttpChannel;
class Metrics;

/// The platform's host list over HTTP and JSON. Every failed call is
/// Unavailable.
class HttpHostList final : public HostList {
public:
  /// \p Address is "IP:port". \p Timeout limits each call as a whole.
  /// \p Registry must outlive the list.
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
