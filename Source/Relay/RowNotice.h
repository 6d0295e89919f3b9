#pragma once

#include "Store/RowStore.h"

#include <string>

namespace jayramp::relay {

/// Notifies the owner of a shard of a newly stored row, so that the owner need
/// not wait for the store's change feed. Delivery is best effort.
struct RowNotice {
  std::string Shard; ///< Name of the shard.
  store::Row Row;

  auto operator==(const RowNotice &) const -> bool = default;
};

} // namespace jayramp::relay
