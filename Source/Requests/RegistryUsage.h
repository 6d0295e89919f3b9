#pragma once

#include <atomic>
#include <cstddef>

namespace jayramp {

/// Memory use of one KeyRegistry, summed over its shards.
struct RegistryUsage {
  std::atomic<std::size_t> Records{0};
  std::atomic<std::size_t> OutcomeBytes{0};
};

} // namespace jayramp
