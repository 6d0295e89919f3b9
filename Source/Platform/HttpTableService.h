#pragma once

#include "Base/Clock.h"
#include "Platform/TableService.h"

#include <memory>
#include <string>

namespace jayramp {

class HttpChannel;
class Metrics;

/// The platform's table service over HTTP and JSON. Values must be UTF-8.
/// Errors: Unavailable for every failed read and for a commit that was not
/// sent, Timeout for a commit that may have taken effect, Rejected if the
/// service calls the request malformed.
class HttpTableService final : public TableService {
public:
  /// \p Address is "IP:port". \p Timeout limits each call as a whole. A commit
  /// without an answer is repeated once with the same write id: the first try
  /// takes at most half of \p Timeout. \p Registry must outlive the service.
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
