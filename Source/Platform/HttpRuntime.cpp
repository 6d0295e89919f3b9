#include "Platform/HttpRuntime.h"

// This version of Boost.Asio uses std::exchange without including <utility>,
// so it must be included first.
#include <utility>

#include <mutex>
#include <pplx/threadpool.h>
#include <stdexcept>

namespace jayramp {

auto initializeHttpThreads(std::size_t ThreadCount) -> void {
  static std::once_flag Once;
  // By default cpprestsdk starts 40 threads, several times as many as an entry
  // host needs.
  std::call_once(Once, [ThreadCount] {
    try {
      crossplat::threadpool::initialize_with_threads(ThreadCount);
    } catch (const std::runtime_error &) {
      // The pool is already running; its size cannot be changed.
      return;
    }
  });
}

} // namespace jayramp
