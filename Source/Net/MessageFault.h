#pragma once

#include <cstdint>

namespace jayramp::net {

/// What is wrong with a message that is being received.
enum class MessageFault : std::uint8_t {
  None,
  Malformed,
  Incomplete,  ///< The connection ended within the message.
  Header,      ///< The header exceeds its limit.
  HeaderLines, ///< Header and trailers have too many lines.
  Trailers,    ///< The trailers or the line before a chunk exceed their limit.
  Body,        ///< The body exceeds its limit.
  Message,     ///< The message exceeds its limit with all its chunk framing.
};

} // namespace jayramp::net
