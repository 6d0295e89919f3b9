#pragma once

#include <atomic>
#include <cstddef>

namespace jayramp {

/// What the shards of one KeyRegistry use together.
struct RegistryUsage {
  std::atomic<std::size_t> Records{0};
  std::atomic<std::size_t> OutcomeBytes{0};
};

} // namespace jayramp
