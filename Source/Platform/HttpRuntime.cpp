#include "Platform/HttpRuntime.h"

// Boost.Asio in this version uses std::exchange without its header.
#include <utility>

#include <mutex>
#include <pplx/threadpool.h>
#include <stdexcept>

namespace jayramp {

auto initializeHttpThreads(std::size_t ThreadCount) -> void {
  static std::once_flag Once;
  // Without this call cpprestsdk starts 40 threads, several times what the
  // entry hosts need.
  std::call_once(Once, [ThreadCount] {
    try {
      crossplat::threadpool::initialize_with_threads(ThreadCount);
    } catch (const std::runtime_error &) {
      // Another part of the process has already started the pool.
      return;
    }
  });
}

} // namespace jayramp
