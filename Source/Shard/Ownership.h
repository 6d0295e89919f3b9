#pragma once

#include "Shard/ShardRows.h"

#include <cstdint>

namespace jayramp::shard {

/// Proof that this process owns a shard: the owner record that it wrote, and
/// the version of its row.
struct Ownership {
  OwnerRecord Owner;
  std::uint64_t OwnerVersion = 0; ///< Version of the owner row.
};

} // namespace jayramp::shard
