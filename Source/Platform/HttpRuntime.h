#pragma once

#include <cstddef>

namespace jayramp {

/// Starts the thread pool of \p ThreadCount threads that all HTTP clients and
/// listeners of the process share. Call it before the first use of cpprestsdk;
/// repeats have no effect.
auto initializeHttpThreads(std::size_t ThreadCount = 8) -> void;

} // namespace jayramp
