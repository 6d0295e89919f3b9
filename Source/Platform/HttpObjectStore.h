#pragma once

#include "Base/Clock.h"
#include "Platform/ObjectStore.h"

#include <memory>
#include <string>

namespace jayramp {

class HttpChannel;
class Metrics;

/// Accesses the platform's object store over HTTP. Errors: Unavailable for a
/// failed fetch and for a put that was not sent, Timeout for a put that may
/// have taken effect, NotFound for a fetch of an absent object, Rejected for
/// another 4xx status.
class HttpObjectStore final : public ObjectStore {
public:
  /// Creates a client. \p Address is the "IP:port" of the object store.
  /// \p Timeout limits each call as a whole. \p Registry must outlive the
  /// client. Returns InvalidArgument if the address is malformed.
  static auto create(const std::string &Address, Milliseconds Timeout,
                     Metrics &Registry)
      -> Result<std::unique_ptr<HttpObjectStore>>;

  ~HttpObjectStore() override;

  auto put(const std::string &Key, const std::string &Bytes)
      -> Result<void> override;
  auto fetch(const std::string &Key) -> Result<std::string> override;

private:
  HttpObjectStore(std::string Address, Milliseconds Timeout,
                  std::unique_ptr<HttpChannel> Channel);

  std::string Address;
  Milliseconds Timeout;
  std::unique_ptr<HttpChannel> Channel;
};

} // namespace jayramp
