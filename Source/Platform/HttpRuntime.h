#pragma once

namespace jayramp {

/// Starts the thread pool that all HTTP clients and listeners of the process
/// share. Call it before the first use of cpprestsdk; repeats have no effect.
auto initializeHttpThreads() -> void;

} // namespace jayramp
