#include "FaultyHttpServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cpprest/json.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <sstream>
#include <utility>

namespace jayramp {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

auto lowerCase(std::string Text) -> std::string {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Character) {
                   return static_cast<char>(std::tolower(Character));
                 });
  return Text;
}

auto trim(const std::string &Text) -> std::string {
  auto First = Text.find_first_not_of(" \t\r");
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t\r") - First + 1);
}

/// Parses the request line and the headers; the body stays empty.
auto parseRequestHead(const std::string &Head) -> StandInRequest {
  StandInRequest Request;
  std::istringstream Lines(Head);
  std::string Target;
  std::string Line;
  std::getline(Lines, Line);
  std::istringstream(Line) >> Request.Method >> Target;
  auto Question = Target.find('?');
  Request.Path = Target.substr(0, Question);
  if (Question != std::string::npos)
    Request.Query = Target.substr(Question + 1);
  while (std::getline(Lines, Line)) {
    auto Colon = Line.find(':');
    if (Colon != std::string::npos)
      Request.Headers[lowerCase(Line.substr(0, Colon))] =
          trim(Line.substr(Colon + 1));
  }
  return Request;
}

auto reasonPhrase(unsigned Status) -> std::string {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 503:
    return "Service Unavailable";
  default:
    return "Internal Server Error";
  }
}

/// Returns \p Body in chunked transfer encoding.
auto encodeChunked(const std::string &Body) -> std::string {
  constexpr std::size_t ChunkSize = 4096;
  std::ostringstream Text;
  for (std::size_t Start = 0; Start < Body.size(); Start += ChunkSize) {
    auto Size = std::min(ChunkSize, Body.size() - Start);
    Text << std::hex << Size << "\r\n" << Body.substr(Start, Size) << "\r\n";
  }
  Text << "0\r\n\r\n";
  return Text.str();
}

auto isControlPath(const std::string &Path) -> bool {
  return Path == "/control" || Path == "/record";
}

} // namespace

/// One client connection, which serves its requests one after the other.
class FaultyHttpServer::Connection
    : public std::enable_shared_from_this<Connection> {
public:
  Connection(FaultyHttpServer &Server, asio::ip::tcp::socket Socket)
      : Server(Server), Socket(std::move(Socket)) {}

  auto readRequest() -> void {
    asio::async_read_until(
        Socket, asio::dynamic_buffer(Input), "\r\n\r\n",
        [Self = shared_from_this()](error_code Failure, std::size_t Size) {
          if (Failure)
            return Self->close();
          Self->readBody(Size);
        });
  }

  auto close() -> void {
    error_code Ignored;
    Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
    Socket.close(Ignored);
    if (Server.Connections.erase(shared_from_this()) != 0 && ForService)
      --Server.ServiceConnections;
  }

  /// Sends nothing more on this connection, but keeps it open. Does not apply
  /// to control connections.
  auto stopResponding() -> void {
    if (!ForControl)
      Silent = true;
  }

private:
  auto readBody(std::size_t HeadSize) -> void {
    Request = parseRequestHead(Input.substr(0, HeadSize));
    Input.erase(0, HeadSize);
    std::size_t Length = 0;
    if (auto Found = Request.Headers.find("content-length");
        Found != Request.Headers.end())
      Length = std::strtoull(Found->second.c_str(), nullptr, 10);
    std::size_t RemainingBytes =
        Length > Input.size() ? Length - Input.size() : 0;
    asio::async_read(
        Socket, asio::dynamic_buffer(Input),
        asio::transfer_exactly(RemainingBytes),
        [Self = shared_from_this(), Length](error_code Failure, std::size_t) {
          if (Failure)
            return Self->close();
          Self->Request.Body = Self->Input.substr(0, Length);
          Self->Input.erase(0, Length);
          Self->dispatchRequest();
        });
  }

  auto dispatchRequest() -> void {
    ForControl = isControlPath(Request.Path);
    if (ForControl)
      return Server.ControlHandler(
          Request, [Self = shared_from_this()](const StandInAnswer &Answer) {
            Self->write(Self->render(Answer, false), false);
          });
    if (!ForService) {
      ForService = true;
      OverLimit = Server.countServiceConnection();
    }
    Request.OverConnectionLimit = OverLimit;
    if (Silent || Server.Silent)
      return discardInput();
    Server.runWhenNotFrozen(
        [Self = shared_from_this()] { Self->serveRequest(); });
  }

  auto serveRequest() -> void {
    if (Server.Down) {
      ++Server.DownCalls;
      return close();
    }
    std::int64_t DelayMs = Server.DelayMs;
    Server.runAfter(DelayMs / 2, [Self = shared_from_this(), DelayMs] {
      Self->Server.ServiceHandler(
          Self->Request, [Self, DelayMs](StandInAnswer Answer) {
            Self->Server.runAfter(DelayMs - DelayMs / 2, [Self, Answer] {
              Self->Server.runWhenNotFrozen(
                  [Self, Answer] { Self->sendAnswer(Answer); });
            });
          });
    });
  }

  auto sendAnswer(const StandInAnswer &Answer) -> void {
    if (Silent)
      return discardInput();
    if (Server.shouldInjectFault(Server.LoseAnswers)) {
      ++Server.LostAnswers;
      return close();
    }
    std::string Text = render(Answer, Server.ChunkedAnswers);
    bool Truncate = Server.shouldInjectFault(Server.CutAnswers);
    if (Truncate) {
      // Truncate in the middle of the body, or of the head if the body has less
      // than two bytes.
      std::size_t BodySize = Text.size() - (Text.find("\r\n\r\n") + 4);
      Text.resize(BodySize < 2 ? Text.size() / 2
                               : Text.size() - (BodySize + 1) / 2);
    }
    write(std::move(Text), Truncate);
  }

  auto render(const StandInAnswer &Answer, bool Chunked) const -> std::string {
    std::string Text = "HTTP/1.1 " + std::to_string(Answer.Status) + " " +
                       reasonPhrase(Answer.Status) + "\r\n";
    for (const auto &[Name, Value] : Answer.Headers)
      Text.append(Name).append(": ").append(Value).append("\r\n");
    if (closeRequested())
      Text += "Connection: close\r\n";
    if (Chunked)
      return Text + "Transfer-Encoding: chunked\r\n\r\n" +
             encodeChunked(Answer.Body);
    Text +=
        "Content-Length: " + std::to_string(Answer.Body.size()) + "\r\n\r\n";
    return Text + Answer.Body;
  }

  auto closeRequested() const -> bool {
    auto Found = Request.Headers.find("connection");
    return Found != Request.Headers.end() &&
           lowerCase(Found->second) == "close";
  }

  /// Writes \p Text, then closes the connection if \p CloseAfterwards is set or
  /// the client asked for it, or else reads the next request.
  auto write(std::string Text, bool CloseAfterwards) -> void {
    Output = std::move(Text);
    asio::async_write(Socket, asio::buffer(Output),
                      [Self = shared_from_this(),
                       CloseAfterwards](error_code Failure, std::size_t) {
                        if (Failure || CloseAfterwards ||
                            Self->closeRequested())
                          return Self->close();
                        Self->readRequest();
                      });
  }

  /// Reads and discards input, without a response, until the peer closes the
  /// connection.
  auto discardInput() -> void {
    Silent = true;
    Socket.async_read_some(
        asio::buffer(Discarded),
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          if (Failure)
            return Self->close();
          Self->discardInput();
        });
  }

  FaultyHttpServer &Server;
  asio::ip::tcp::socket Socket;
  std::string Input;
  std::string Output;
  std::array<char, 4096> Discarded{};
  StandInRequest Request;
  bool ForControl = false;
  bool ForService = false;
  bool OverLimit = false;
  bool Silent = false;
};

FaultyHttpServer::FaultyHttpServer(asio::io_context &Context,
                                   const Settings &Options,
                                   Handler ServiceHandler,
                                   Handler ControlHandler)
    : Context(Context), Acceptor(Context, Options.Endpoint),
      ConnectionLimit(Options.ConnectionLimit),
      ServiceHandler(std::move(ServiceHandler)),
      ControlHandler(std::move(ControlHandler)), Generator(Options.Seed) {
  accept();
}

FaultyHttpServer::~FaultyHttpServer() = default;

auto FaultyHttpServer::endpoint() const -> asio::ip::tcp::endpoint {
  return Acceptor.local_endpoint();
}

auto FaultyHttpServer::accept() -> void {
  Acceptor.async_accept(
      [this](error_code Failure, asio::ip::tcp::socket Socket) {
        if (Failure == asio::error::operation_aborted)
          return;
        if (!Failure) {
          error_code Ignored;
          Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
          auto NewConnection =
              std::make_shared<Connection>(*this, std::move(Socket));
          Connections.insert(NewConnection);
          NewConnection->readRequest();
        }
        accept();
      });
}

auto FaultyHttpServer::setFault(const std::string &Name,
                                const web::json::value &Value) -> bool {
  if (Name == "delay_ms")
    DelayMs = Value.as_number().to_int64();
  else if (Name == "lose_answers")
    LoseAnswers = Value.as_double();
  else if (Name == "cut_answers")
    CutAnswers = Value.as_double();
  else if (Name == "chunked_answers")
    ChunkedAnswers = Value.as_bool();
  else if (Name == "down")
    Down = Value.as_bool();
  else if (Name == "silent")
    setSilent(Value.as_bool());
  else if (Name == "freeze")
    setFrozen(Value.as_bool());
  else
    return false;
  return true;
}

auto FaultyHttpServer::resetRecord() -> void {
  PeakConnections = ServiceConnections;
  TotalConnections = 0;
  LostAnswers = 0;
  DownCalls = 0;
}

auto FaultyHttpServer::countServiceConnection() -> bool {
  ++ServiceConnections;
  ++TotalConnections;
  PeakConnections = std::max(PeakConnections, ServiceConnections);
  return ServiceConnections > ConnectionLimit;
}

auto FaultyHttpServer::shouldInjectFault(double Probability) -> bool {
  return Probability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(Generator) < Probability;
}

auto FaultyHttpServer::runWhenNotFrozen(std::function<void()> Action) -> void {
  if (Frozen)
    DeferredActions.push_back(std::move(Action));
  else
    Action();
}

auto FaultyHttpServer::runAfter(std::int64_t DelayMs,
                                std::function<void()> Action) -> void {
  if (DelayMs <= 0)
    return Action();
  auto Timer = std::make_shared<asio::steady_timer>(
      Context, std::chrono::milliseconds(DelayMs));
  Timer->async_wait(
      [Timer, Action = std::move(Action)](error_code) { Action(); });
}

auto FaultyHttpServer::setSilent(bool Value) -> void {
  Silent = Value;
  if (!Value)
    return;
  for (const auto &Existing : Connections)
    Existing->stopResponding();
}

auto FaultyHttpServer::setFrozen(bool Value) -> void {
  Frozen = Value;
  if (Value)
    return;
  auto ActionsToRun = std::move(DeferredActions);
  DeferredActions.clear();
  for (auto &Action : ActionsToRun)
    asio::post(Context, std::move(Action));
}

} // namespace jayramp
