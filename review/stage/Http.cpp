#include "Http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <system_error>

namespace jayramp::review {

namespace {

using Clock = std::chrono::steady_clock;

auto socketAddress(const std::string &Ip, int Port) -> sockaddr_in {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

auto portOf(int Socket) -> int {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

auto sendAll(int Socket, const std::string &Bytes) -> bool {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const auto Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

auto trim(const std::string &Text) -> std::string {
  const auto First = Text.find_first_not_of(" \t");
  const auto Last = Text.find_last_not_of(" \t\r");
  return First == std::string::npos ? "" : Text.substr(First, Last - First + 1);
}

auto lower(std::string Text) -> std::string {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  return Text;
}

/// Reads messages with a Content-Length from a socket.
class MessageSource {
public:
  MessageSource(int Socket, std::optional<Clock::time_point> Deadline)
      : Socket(Socket), Deadline(Deadline) {}

  /// Returns the first line, the headers and the body of the next message.
  auto next(std::string &FirstLine, std::map<std::string, std::string> &Headers,
            std::string &Body) -> bool {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill())
        return false;
    const auto Head = Buffer.substr(0, End + 2);
    Buffer.erase(0, End + 4);
    auto Begin = Head.find("\r\n");
    FirstLine = Head.substr(0, Begin);
    Begin += 2;
    while (Begin < Head.size()) {
      const auto Stop = Head.find("\r\n", Begin);
      const auto Line = Head.substr(Begin, Stop - Begin);
      if (const auto Colon = Line.find(':'); Colon != std::string::npos)
        Headers[lower(Line.substr(0, Colon))] = trim(Line.substr(Colon + 1));
      Begin = Stop + 2;
    }
    const auto Length = Headers.find("content-length");
    const auto Size =
        Length == Headers.end() ? 0UL : std::stoul(Length->second);
    while (Buffer.size() < Size)
      if (!fill())
        return false;
    Body = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    return true;
  }

private:
  auto fill() -> bool {
    if (Deadline) {
      const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
          *Deadline - Clock::now());
      pollfd Wait{Socket, POLLIN, 0};
      if (Left.count() <= 0 ||
          ::poll(&Wait, 1, static_cast<int>(Left.count())) <= 0)
        return false;
    }
    char Bytes[16384];
    const auto Count = ::recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket;
  std::optional<Clock::time_point> Deadline;
  std::string Buffer;
};

auto decodePercent(const std::string &Text) -> std::string {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Decoded +=
          static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
      At += 2;
    } else {
      Decoded += Text[At];
    }
  }
  return Decoded;
}

auto openSocket() -> int {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Socket;
}

auto reset(int Socket) -> void {
  const linger Now{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
}

} // namespace

auto Request::path() const -> std::string {
  return Target.substr(0, Target.find('?'));
}

auto Request::parameter(const std::string &Name) const -> std::string {
  const auto Query = Target.find('?');
  if (Query == std::string::npos)
    return {};
  auto Begin = Query + 1;
  while (Begin < Target.size()) {
    const auto End = std::min(Target.find('&', Begin), Target.size());
    const auto Pair = Target.substr(Begin, End - Begin);
    const auto Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name && Equals != std::string::npos)
      return decodePercent(Pair.substr(Equals + 1));
    Begin = End + 1;
  }
  return {};
}

HttpServer::HttpServer(const std::string &Ip, int Wanted, Handler OnRequest)
    : OnRequest(std::move(OnRequest)), Listener(openSocket()) {
  const int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const auto Address = socketAddress(Ip, Wanted);
  if (::bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(Listener, 512) != 0)
    throw std::runtime_error("cannot listen on " + Ip);
  Port = portOf(Listener);
  Acceptor = std::thread([this] { accept(); });
}

HttpServer::~HttpServer() { stop(); }

auto HttpServer::stop() -> void {
  if (Stopped.exchange(true))
    return;
  ::shutdown(Listener, SHUT_RDWR);
  Acceptor.join();
  ::close(Listener);
  std::unique_lock Lock(Guard);
  for (const int Socket : Open) {
    reset(Socket);
    ::shutdown(Socket, SHUT_RDWR);
  }
  Closed.wait(Lock, [this] { return Open.empty(); });
}

auto HttpServer::accept() -> void {
  while (!Stopped) {
    const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    const std::scoped_lock Lock(Guard);
    try {
      std::thread([this, Socket] { serve(Socket); }).detach();
      Open.push_back(Socket);
    } catch (const std::system_error &) {
      // The machine has no room for a further thread.
      ::close(Socket);
    }
  }
}

auto HttpServer::serve(int Socket) -> void {
  MessageSource Source(Socket, std::nullopt);
  while (!Stopped) {
    Request Message;
    std::string Line;
    if (!Source.next(Line, Message.Headers, Message.Body))
      break;
    const auto First = Line.find(' ');
    const auto Second = Line.find(' ', First + 1);
    Message.Method = Line.substr(0, First);
    Message.Target = Line.substr(First + 1, Second - First - 1);
    const auto Answer = OnRequest(Message);
    if (!Answer || Stopped)
      break;
    if (!sendAll(Socket, "HTTP/1.1 " + std::to_string(Answer->Status) +
                             " X\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(Answer->Body.size()) + "\r\n\r\n" +
                             Answer->Body))
      break;
  }
  const std::scoped_lock Lock(Guard);
  ::close(Socket);
  Open.remove(Socket);
  Closed.notify_all();
}

auto callHttp(const std::string &Address, const std::string &Method,
              const std::string &Target,
              const std::map<std::string, std::string> &Headers,
              const std::string &Body, int TimeoutMs)
    -> std::optional<Response> {
  const auto Deadline = Clock::now() + std::chrono::milliseconds(TimeoutMs);
  const auto Colon = Address.rfind(':');
  const auto Peer = socketAddress(Address.substr(0, Colon),
                                  std::stoi(Address.substr(Colon + 1)));
  const int Socket = openSocket();
  std::optional<Response> Answer;
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Peer),
                sizeof(Peer)) == 0) {
    auto Message = Method + " " + Target + " HTTP/1.1\r\n";
    for (const auto &[Name, Value] : Headers)
      Message += Name + ": " + Value + "\r\n";
    Message += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n\r\n" + Body;
    std::string Line;
    std::map<std::string, std::string> Ignored;
    Response Received;
    MessageSource Source(Socket, Deadline);
    if (sendAll(Socket, Message) && Source.next(Line, Ignored, Received.Body) &&
        Line.size() > 12) {
      Received.Status = std::stoi(Line.substr(9, 3));
      Answer = std::move(Received);
    }
  }
  ::close(Socket);
  return Answer;
}

auto freePort(const std::string &Ip) -> int {
  const int Socket = openSocket();
  const auto Address = socketAddress(Ip, 0);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0)
    throw std::runtime_error("no free port on " + Ip);
  const int Port = portOf(Socket);
  ::close(Socket);
  return Port;
}

} // namespace jayramp::review
