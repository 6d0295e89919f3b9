#pragma once

namespace jayramp {

/// What a member of a view takes part in.
enum class MemberState {
  Serving, ///< Owns racks and key shards.
  Leaving, ///< Owns no racks or shards; finishes its requests in progress.
};

} // namespace jayramp
