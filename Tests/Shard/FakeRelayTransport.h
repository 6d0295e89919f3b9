#pragma once

#include "Net/EventLoop.h"
#include "Relay/RelayCodec.h"
#include "Relay/RelayServer.h"
#include "Relay/RelayTransport.h"

#include <map>
#include <optional>
#include <string>

namespace jayramp::test {

/// Relay transport that calls the relay servers of peers in the same process.
class FakeRelayTransport final : public relay::RelayTransport {
public:
  explicit FakeRelayTransport(net::EventLoop &Loop) : Loop(Loop) {}

  auto add(const std::string &Address, relay::RelayServer &Server) -> void {
    Servers.emplace(Address, &Server);
  }
  auto call(const std::string &Address, const relay::RelayCall &Call,
            Callback Done) -> void override {
    ++Calls;
    const auto Found = Servers.find(Address);
    if (Found == Servers.end()) {
      Loop.post([Done] { Done(std::nullopt); });
      return;
    }
    Found->second->handle({"POST", "/relay", {}, relay::encodeRelayCall(Call)},
                          [this, Done](const net::HttpResponse &Answer) {
                            auto Reply =
                                relay::decodeRelayReply(Answer.Body).value();
                            Loop.post([Done, Reply] { Done(Reply); });
                          });
  }

  int Calls = 0;

private:
  net::EventLoop &Loop;
  std::map<std::string, relay::RelayServer *> Servers;
};

} // namespace jayramp::test
