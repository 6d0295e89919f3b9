#pragma once

#include "Base/Clock.h"
#include "Platform/TableService.h"

#include <memory>
#include <string>

namespace jayramp {

class HttpChannel;
class Metrics;

/// Accesses the platform's table service over HTTP and JSON. Values must be
/// UTF-8. Errors: Unavailable for a failed read and for a commit that was not
/// sent, Timeout for a commit that may have taken effect, Rejected if the
/// service answers with a 4xx status because the request is malformed.
class HttpTableService final : public TableService {
public:
  /// Creates a client. \p Address is the "IP:port" of the table service.
  /// \p Timeout limits each call as a whole. A commit without a response is
  /// retried once with the same write id, so the first attempt takes at most
  /// half of \p Timeout. \p Registry must outlive the client. Returns
  /// InvalidArgument if the address is malformed.
  static auto create(const std::string &Address, Milliseconds Timeout,
                     Metrics &Registry)
      -> Result<std::unique_ptr<HttpTableService>>;

  ~HttpTableService() override;

  auto read(const std::string &Table, const std::string &Key)
      -> Result<std::optional<TableRow>> override;
  auto changes(const std::string &Table, std::uint64_t Since)
      -> Result<TableChanges> override;
  auto commit(const TableTransaction &Transaction)
      -> Result<CommitResult> override;

private:
  HttpTableService(std::string Address, Milliseconds Timeout, Metrics &Registry,
                   std::unique_ptr<HttpChannel> Channel);

  std::string Address;
  Milliseconds Timeout;
  Metrics &Registry;
  std::unique_ptr<HttpChannel> Channel;
};

} // namespace jayramp
