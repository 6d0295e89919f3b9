#pragma once

#include "Net/HttpMessage.h"
#include "Net/MessageFault.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <iterator>
#include <optional>

namespace jayramp::net {

/// Reads HTTP/1.1 messages from bytes that arrive in pieces, and counts what
/// each message consists of and makes the process hold. The parser itself
/// limits neither the header as a whole nor trailers and chunk extensions.
template <bool IsRequest> class MessageReader {
public:
  enum class Progress { NeedsMore, Complete, Failed };
  using Message =
      boost::beast::http::message<IsRequest, boost::beast::http::string_body>;

  /// Begins the next message; bytes that arrived behind the last one are kept.
  auto begin(const HttpLimits &Next) -> void {
    Limits = Next;
    Parser.emplace();
    // This class counts the header; a single line must not meet the limit of
    // the parser first.
    Parser->header_limit(Limits.MaxHeaderBytes + 1);
    Parser->body_limit(Limits.MaxBodyBytes);
    HeaderBytes = MessageBytes = HeaderLines = 0;
    Problem = MessageFault::None;
    if (Buffer.size() == 0 && Buffer.capacity() > KeptBufferBytes)
      Buffer.shrink_to_fit();
  }

  /// Returns room for \p Size bytes, to be followed by commit().
  auto prepare(std::size_t Size) -> boost::asio::mutable_buffer {
    return Buffer.prepare(Size);
  }
  auto commit(std::size_t Size) -> void { Buffer.commit(Size); }

  /// Parses what has arrived.
  auto parse() -> Progress {
    while (Buffer.size() > 0) {
      const bool InHeader = !Parser->is_header_done();
      boost::system::error_code Failure;
      const auto Size = Parser->put(Buffer.data(), Failure);
      Buffer.consume(Size);
      MessageBytes += Size;
      if (InHeader)
        HeaderBytes += Size;
      if (!checkSizes(InHeader))
        return Progress::Failed;
      if (Failure == boost::beast::http::error::need_more) {
        // Without progress in a body, all of it is trailers or the line before
        // one chunk.
        const bool IsTooLong =
            !InHeader && Buffer.size() > Limits.MaxHeaderBytes;
        return IsTooLong ? fail(MessageFault::Trailers) : Progress::NeedsMore;
      }
      if (Failure)
        return fail(faultOf(Failure));
      if (Parser->is_done())
        return Progress::Complete;
    }
    return Progress::NeedsMore;
  }

  /// Returns what the end of the connection makes of the message.
  auto finish() -> Progress {
    boost::system::error_code Failure = boost::beast::http::error::need_more;
    if (Parser->got_some())
      Parser->put_eof(Failure);
    return Failure ? fail(MessageFault::Incomplete) : Progress::Complete;
  }

  /// Returns the complete message and frees what it took to read it.
  auto take() -> Message {
    auto Taken = Parser->release();
    Parser.reset();
    return Taken;
  }
  /// Frees what was parsed of the message; a read into the buffer may be
  /// pending.
  auto dropMessage() -> void { Parser.reset(); }
  /// Frees all that was read of the message and behind it. No read into the
  /// buffer may be pending.
  auto discard() -> void {
    Parser.reset();
    Buffer.clear();
    Buffer.shrink_to_fit();
  }

  auto fault() const -> MessageFault { return Problem; }
  auto messageBytes() const -> std::uint64_t { return MessageBytes; }
  auto hasUnparsedBytes() const -> bool { return Buffer.size() > 0; }
  auto unparsedBytes() const -> std::size_t { return Buffer.size(); }
  auto bufferBytes() const -> std::size_t { return Buffer.capacity(); }
  /// Returns the bytes that the message makes the process hold, about.
  auto heldBytes() const -> std::size_t {
    return Buffer.capacity() + headerHeldBytes() +
           (Parser ? Parser->get().body().size() : 0);
  }
  /// Returns heldBytes() after \p Size more bytes have been read, which take
  /// their place in the buffer and then in the body.
  auto heldBytesWith(std::size_t Size) const -> std::size_t {
    const bool Grows = Buffer.capacity() < Buffer.size() + Size;
    return heldBytes() + (Grows ? 2 * Size : Size);
  }
  /// Returns the part of heldBytes() for the header lines, which are held
  /// twice: as parsed and as passed on.
  auto headerHeldBytes() const -> std::size_t {
    return 2 * HeaderBytes + HeaderLines * HeldBytesPerLine;
  }

private:
  /// A connection that waits for a message keeps a buffer of this size.
  static constexpr std::size_t KeptBufferBytes = 2048;
  /// List nodes and strings of one header line, without its text.
  static constexpr std::size_t HeldBytesPerLine = 160;

  auto fail(MessageFault Kind) -> Progress {
    Problem = Kind;
    return Progress::Failed;
  }

  /// Returns whether the message is within its limits so far.
  auto checkSizes(bool InHeader) -> bool {
    if (InHeader) {
      const auto Unparsed = Parser->is_header_done() ? 0 : Buffer.size();
      if (HeaderBytes + Unparsed > Limits.MaxHeaderBytes)
        Problem = MessageFault::Header;
    }
    if (InHeader || Parser->is_done()) {
      const auto &Fields = Parser->get();
      HeaderLines =
          static_cast<std::size_t>(std::distance(Fields.begin(), Fields.end()));
      if (HeaderLines > Limits.MaxHeaderLines)
        Problem = MessageFault::HeaderLines;
    }
    if (MessageBytes > Limits.maxMessageBytes())
      Problem = MessageFault::Message;
    return Problem == MessageFault::None;
  }

  static auto faultOf(const boost::system::error_code &Failure)
      -> MessageFault {
    if (Failure == boost::beast::http::error::body_limit)
      return MessageFault::Body;
    if (Failure == boost::beast::http::error::header_limit)
      return MessageFault::Header;
    return MessageFault::Malformed;
  }

  HttpLimits Limits;
  boost::beast::flat_buffer Buffer;
  std::optional<
      boost::beast::http::parser<IsRequest, boost::beast::http::string_body>>
      Parser;
  std::size_t HeaderBytes = 0;
  std::size_t HeaderLines = 0;
  std::uint64_t MessageBytes = 0;
  MessageFault Problem = MessageFault::None;
};

} // namespace jayramp::net
