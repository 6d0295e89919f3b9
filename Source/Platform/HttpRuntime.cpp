#include "Platform/HttpRuntime.h"

// Boost.Asio in this version uses std::exchange without its header.
#include <utility>

#include <mutex>
#include <pplx/threadpool.h>
#include <stdexcept>

namespace jayramp {

auto initializeHttpThreads() -> void {
  static std::once_flag Once;
  // The default of 40 threads is several times what the entry hosts need.
  constexpr std::size_t ThreadCount = 8;
  std::call_once(Once, [] {
    try {
      crossplat::threadpool::initialize_with_threads(ThreadCount);
    } catch (const std::runtime_error &) {
      // Another part of the process has already started the pool.
      return;
    }
  });
}

} // namespace jayramp
