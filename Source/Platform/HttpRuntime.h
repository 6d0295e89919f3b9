#pragma once

#include <cstddef>

namespace jayramp {

/// Starts the pool of \p ThreadCount threads that all cpprestsdk clients and
/// listeners of the process share. Must be called before the first use of
/// cpprestsdk; further calls have no effect.
auto initializeHttpThreads(std::size_t ThreadCount = 8) -> void;

} // namespace jayramp
