#include "Net/HttpConnection.h"

#include "Base/EventLog.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace jayramp::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t FirstReadBytes = 2048;
constexpr std::size_t ReadBytes = 16384;
/// A larger response is not sent while the connections hold too much.
constexpr std::size_t SmallResponseBytes = 16384;
/// Header and bookkeeping of a pending response.
constexpr std::size_t ResponseOverheadBytes = 1024;
constexpr Milliseconds LingerTime{3000};
constexpr std::string_view BusyText =
    "the host serves too many connections; the request was not accepted, "
    "repeat it later";
constexpr const char *RetryAfterSeconds = "1";

/// Where the bytes of refused clients go; never read.
auto discardBuffer() -> boost::asio::mutable_buffer {
  static std::array<char, ReadBytes> Bytes;
  return boost::asio::buffer(Bytes);
}

auto peerOf(const HttpConnection::Socket &Stream) -> std::string {
  boost::system::error_code Failure;
  const auto Peer = Stream.remote_endpoint(Failure);
  return Failure ? "unknown" : Peer.address().to_string();
}

} // namespace

HttpConnection::HttpConnection(std::shared_ptr<HttpServerState> Owner,
                               Socket Accepted)
    : Owner(std::move(Owner)), Stream(std::move(Accepted)),
      Deadline(this->Owner->Loop.context()), Held(this->Owner->Budget),
      Entry(this->Owner->Table.add(this, Clock::now())),
      LingerBytesLeft(this->Owner->Sums.MaxLingerBytes) {
  ErrorCode Ignored; // Without TCP_NODELAY only the latency is higher.
  Stream.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
}

HttpConnection::~HttpConnection() {
  // The handler dropped the request without an answer.
  if (Current == Phase::Answering)
    --Owner->InProgress;
  close();
}

auto HttpConnection::readNext() -> void {
  Reader.begin(Owner->Limits);
  Held.set(Reader.heldBytes());
  if (Reader.hasUnparsedBytes()) {
    startReading();
    parse();
    return;
  }
  enter(Phase::Waiting);
  startDeadline(Owner->Limits.IdleTimeout);
  Stream.async_wait(Socket::wait_read,
                    [Self = shared_from_this()](ErrorCode Failure) {
                      if (Self->Current != Phase::Waiting)
                        return;
                      if (Failure)
                        return Self->close();
                      // The time limit of the request starts with its first
                      // byte.
                      Self->startReading();
                      Self->read();
                    });
}

auto HttpConnection::enter(Phase Next) -> void {
  if (Current == Phase::Reading)
    --Owner->BeingReceived;
  Current = Next;
  if (Next == Phase::Closed)
    return Owner->Table.remove(Entry);
  if (Next == Phase::Waiting) {
    if (Entry->Current != Place::State::Unused)
      Owner->Table.move(Entry, Place::State::Idle, Clock::now());
    return;
  }
  if (Next == Phase::Reading)
    ++Owner->BeingReceived;
  Owner->Table.move(Entry,
                    Next == Phase::Reading ? Place::State::Reading
                                           : Place::State::Busy,
                    Clock::now());
}

auto HttpConnection::startReading() -> void {
  enter(Phase::Reading);
  startDeadline(Owner->Limits.HeaderTimeout);
}

auto HttpConnection::read() -> void {
  if (Current != Phase::Reading)
    return;
  WaitingForRoom.reset();
  const bool IsSmall =
      Reader.messageBytes() + Reader.unparsedBytes() + FirstReadBytes <=
      ConnectionLimits::GuaranteedBytes;
  const auto Size = IsSmall ? FirstReadBytes : ReadBytes;
  if (IsSmall) {
    Held.set(Reader.heldBytesWith(Size));
  } else if (!Held.trySet(Reader.heldBytesWith(Size))) {
    WaitingForRoom = Owner->Budget->waitForRoom([Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->read();
    });
    return;
  }
  ReadPending = true;
  Stream.async_read_some(
      Reader.prepare(Size),
      [Self = shared_from_this()](ErrorCode Failure, std::size_t Count) {
        Self->onRead(Failure, Count);
      });
}

auto HttpConnection::onRead(ErrorCode Failure, std::size_t Size) -> void {
  ReadPending = false;
  if (Current == Phase::Lingering)
    return Failure ? close() : linger();
  if (Current != Phase::Reading)
    return;
  if (Failure)
    return close();
  Reader.commit(Size);
  parse();
}

auto HttpConnection::parse() -> void {
  using Progress = MessageReader<true>::Progress;
  const auto Reached = Reader.parse();
  if (Reached == Progress::Failed)
    return rejectMessage(Reader.fault());
  Held.set(Reader.heldBytes());
  if (Reached == Progress::Complete)
    return handle();
  if (Reader.headerHeldBytes() > ConnectionLimits::GuaranteedBytes &&
      Owner->Budget->isExceeded())
    return refuse(503, "memory", std::string(BusyText));
  read();
}

auto HttpConnection::rejectMessage(MessageFault Fault) -> void {
  switch (Fault) {
  case MessageFault::Header:
    return refuse(431, "header",
                  "the request header exceeds the size limit of this server");
  case MessageFault::HeaderLines:
    return refuse(431, "header-lines",
                  "the request has more header lines than this server takes");
  case MessageFault::Trailers:
    return refuse(431, "trailers",
                  "the trailers or a chunk extension exceed the size limit of "
                  "this server");
  case MessageFault::Body:
    return refuse(413, "body",
                  "the request body exceeds the size limit of this server");
  case MessageFault::Message:
    return refuse(413, "message",
                  "the request with its chunk framing exceeds the size limit "
                  "of this server");
  case MessageFault::Malformed:
  case MessageFault::Incomplete:
  case MessageFault::None:
    return refuse(400, "malformed", "not an HTTP request");
  }
}

auto HttpConnection::refuse(unsigned Status, std::string_view Reason,
                            const std::string &Text) -> void {
  report(Reason);
  WaitingForRoom.reset();
  if (ReadPending)
    Reader.dropMessage();
  else
    Reader.discard();
  KeepAlive = false;
  Refused = true;
  ++Owner->InProgress;
  auto Response = Owner->RenderRefusal ? Owner->RenderRefusal(Status, Text)
                                       : HttpResponse{Status, {}, Text + "\n"};
  if (Status == 503)
    Response.Headers.emplace_back("Retry-After", RetryAfterSeconds);
  write(std::move(Response));
}

auto HttpConnection::handle() -> void {
  auto Received = Reader.take();
  HttpRequest Request;
  Request.Method = Received.method_string().to_string();
  Request.Target = Received.target().to_string();
  for (const auto &Field : Received)
    Request.Headers.emplace_back(Field.name_string().to_string(),
                                 Field.value().to_string());
  Request.Body = std::move(Received.body());
  KeepAlive = Received.keep_alive();
  enter(Phase::Answering);
  Deadline.cancel();
  ++Owner->InProgress;
  const auto Respond = [Self = shared_from_this(),
                        Number = ++RequestNumber](HttpResponse Response) {
    // A handler that threw was answered for; it may still respond later.
    if (Self->AnsweredNumber >= Number)
      return;
    Self->AnsweredNumber = Number;
    Self->write(std::move(Response));
  };
  try {
    Owner->OnRequest(std::move(Request), Respond);
  } catch (const std::exception &Failure) {
    logEvent(LogLevel::Error, "request-failed", {{"error", Failure.what()}});
    // The handler may have responded before it threw.
    if (Current == Phase::Answering)
      Respond({500, {}, "internal error\n"});
  }
}

auto HttpConnection::write(HttpResponse Response) -> void {
  if (Current == Phase::Closed) {
    --Owner->InProgress;
    return;
  }
  enter(Phase::Writing);
  const auto Size = Response.Body.size();
  Held.set(Reader.bufferBytes() + Size + ResponseOverheadBytes);
  if (Size > SmallResponseBytes && Owner->Budget->isExceeded()) {
    // The request may have taken effect, so no status can be sent instead.
    --Owner->InProgress;
    report("response-memory");
    return close();
  }
  KeepAlive = KeepAlive && !Owner->Draining;
  Message.emplace();
  Message->version(11);
  Message->result(Response.Status);
  for (const auto &[Name, Value] : Response.Headers)
    Message->set(Name, Value);
  Message->keep_alive(KeepAlive);
  Message->body() = std::move(Response.Body);
  Message->prepare_payload();
  startDeadline(Owner->Limits.IdleTimeout);
  http::async_write(
      Stream, *Message,
      [Self = shared_from_this()](ErrorCode Failure, std::size_t) {
        Self->onWritten(Failure);
      });
}

auto HttpConnection::onWritten(ErrorCode Failure) -> void {
  --Owner->InProgress;
  Message.reset();
  if (Current == Phase::Closed)
    return;
  Deadline.cancel();
  if (Failure)
    return close();
  if (!Refused)
    return KeepAlive ? readNext() : close();
  ErrorCode Ignored; // The peer may have closed the connection already.
  Stream.shutdown(Socket::shutdown_send, Ignored);
  enter(Phase::Lingering);
  Held.set(Reader.bufferBytes());
  startDeadline(LingerTime);
  linger();
}

auto HttpConnection::linger() -> void {
  if (ReadPending)
    return;
  Reader.discard();
  Held.set(Reader.bufferBytes());
  if (LingerBytesLeft == 0)
    return close();
  ReadPending = true;
  Stream.async_read_some(
      discardBuffer(),
      [Self = shared_from_this()](ErrorCode Failure, std::size_t Count) {
        Self->LingerBytesLeft -= std::min(Self->LingerBytesLeft, Count);
        Self->onRead(Failure, Count);
      });
}

auto HttpConnection::startDeadline(Milliseconds Timeout) -> void {
  Deadline.expires_after(Timeout);
  Deadline.async_wait([Self = shared_from_this()](ErrorCode Failure) {
    // A handler that was already queued when the timer was set again does not
    // count.
    if (!Failure && Self->Deadline.expiry() <= Clock::now())
      Self->onDeadline();
  });
}

auto HttpConnection::onDeadline() -> void {
  if (Current == Phase::Reading) {
    if (WaitingForRoom)
      return refuse(503, "memory", std::string(BusyText));
    return refuse(408, "request-time",
                  "the request was not received whole in time");
  }
  if (Current == Phase::Answering)
    return;
  if (Current == Phase::Writing)
    report("response-time");
  close();
}

auto HttpConnection::evict() -> void {
  if (Current == Phase::Reading)
    sendBusy(Stream);
  close();
}

auto HttpConnection::unreadBytes() -> std::size_t {
  ErrorCode Failure;
  const auto Size = Stream.available(Failure);
  return Failure ? 0 : Size;
}

auto HttpConnection::sendBusy(Socket &Target) -> void {
  static const std::string Refusal =
      "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: " +
      std::string(RetryAfterSeconds) +
      "\r\nContent-Length: " + std::to_string(BusyText.size()) + "\r\n\r\n" +
      std::string(BusyText);
  ErrorCode Ignored; // The connection is closed in any case.
  Target.non_blocking(true, Ignored);
  Target.write_some(boost::asio::buffer(Refusal), Ignored);
}

auto HttpConnection::report(std::string_view Reason) -> void {
  Owner->Reporter.report(Reason, peerOf(Stream));
}

auto HttpConnection::close() -> void {
  if (Current == Phase::Closed)
    return;
  enter(Phase::Closed);
  ErrorCode Ignored; // The peer may have closed the connection already.
  Deadline.cancel(Ignored);
  WaitingForRoom.reset();
  Held.set(0);
  Stream.shutdown(Socket::shutdown_both, Ignored);
  Stream.close(Ignored);
}

} // namespace jayramp::net
