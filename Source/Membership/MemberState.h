#pragma once

namespace jayramp {

/// State of a member of the view.
enum class MemberState {
  Serving, ///< Owns racks and key shards.
  Leaving, ///< Owns nothing any more; finishes its requests in progress.
};

} // namespace jayramp
