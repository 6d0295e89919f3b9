#include "Http.h"

#include "HttpServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

auto sendAll(int Descriptor, const std::string &Text) -> bool {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const auto Count =
        send(Descriptor, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Reads until the peer closes the connection; none after a timeout.
auto receiveAll(int Descriptor) -> std::optional<std::string> {
  std::string Text;
  char Bytes[4096];
  while (true) {
    const auto Count = recv(Descriptor, Bytes, sizeof(Bytes), 0);
    if (Count < 0)
      return std::nullopt;
    if (Count == 0)
      return Text;
    Text.append(Bytes, static_cast<std::size_t>(Count));
  }
}

auto parseResponse(const std::string &Text) -> std::optional<HttpResponse> {
  const auto HeaderEnd = Text.find("\r\n\r\n");
  const auto StatusStart = Text.find(' ');
  if (HeaderEnd == std::string::npos || StatusStart == std::string::npos)
    return std::nullopt;
  const auto Status = std::strtoul(Text.c_str() + StatusStart + 1, nullptr, 10);
  return HttpResponse{static_cast<unsigned>(Status),
                      Text.substr(HeaderEnd + 4)};
}

} // namespace

auto loopbackEndpoint(unsigned Port) -> sockaddr_in {
  sockaddr_in Endpoint{};
  Endpoint.sin_family = AF_INET;
  Endpoint.sin_port = htons(static_cast<std::uint16_t>(Port));
  Endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Endpoint;
}

auto serveHttp(HttpHandler Handler) -> std::string {
  // Never destroyed: its threads use it until the process ends.
  auto *Server = new HttpServer;
  Server->open(std::move(Handler));
  return Server->address();
}

auto callHttp(const std::string &Address, const ClientCall &Call,
              std::int64_t TimeoutMs) -> std::optional<HttpResponse> {
  const auto Port =
      std::strtoul(Address.c_str() + Address.rfind(':') + 1, nullptr, 10);
  const int Descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const timeval Timeout{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000};
  setsockopt(Descriptor, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  const auto Endpoint = loopbackEndpoint(static_cast<unsigned>(Port));
  std::optional<HttpResponse> Response;
  std::string Text =
      Call.Method + " " + Call.Target + " HTTP/1.1\r\nHost: " + Call.Host +
      "\r\nConnection: close\r\nDeadline-Ms: " + std::to_string(TimeoutMs) +
      "\r\n";
  if (!Call.ApiKey.empty())
    Text += "Authorization: Bearer " + Call.ApiKey + "\r\n";
  if (!Call.Body.empty())
    Text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(Call.Body.size()) + "\r\n";
  Text += "\r\n" + Call.Body;
  if (connect(Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint),
              sizeof(Endpoint)) == 0 &&
      sendAll(Descriptor, Text))
    if (const auto Received = receiveAll(Descriptor))
      Response = parseResponse(*Received);
  close(Descriptor);
  return Response;
}

auto freePort() -> unsigned {
  // The socket stays bound, so that no other process gets the port. As it does
  // not listen, the entry host can bind the same address.
  const int Descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const int Enabled = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  auto Endpoint = loopbackEndpoint(0);
  socklen_t Size = sizeof(Endpoint);
  const bool Bound =
      bind(Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint), Size) ==
          0 &&
      getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Endpoint), &Size) ==
          0;
  return Bound ? ntohs(Endpoint.sin_port) : 0;
}

auto queryValue(const std::string &Target, const std::string &Name)
    -> std::string {
  const auto Query =
      "&" + Target.substr(std::min(Target.size(), Target.find('?') + 1));
  const auto Found = Query.find("&" + Name + "=");
  if (Found == std::string::npos)
    return {};
  const auto Begin = Found + Name.size() + 2;
  const auto End = Query.find('&', Begin);
  const auto Encoded = Query.substr(
      Begin, End == std::string::npos ? std::string::npos : End - Begin);
  std::string Value;
  for (std::size_t Position = 0; Position < Encoded.size(); ++Position) {
    if (Encoded[Position] != '%') {
      Value += Encoded[Position];
      continue;
    }
    const auto Digits = Encoded.substr(Position + 1, 2);
    Value += static_cast<char>(std::strtoul(Digits.c_str(), nullptr, 16));
    Position += 2;
  }
  return Value;
}

} // namespace review
