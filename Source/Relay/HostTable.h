#pragma once

namespace jayramp::relay {

/// Name of the store's table that maps the name of each entry host to its
/// internal address ("ip:port"), a space, and its CPU share in cores.
inline constexpr const char *HostTable = "hosts";

} // namespace jayramp::relay
