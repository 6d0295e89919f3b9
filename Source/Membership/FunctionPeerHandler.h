#pragma once

#include "Membership/PeerHandler.h"

#include <utility>

namespace jayramp {

/// A PeerHandler that passes each request to a function object.
class FunctionPeerHandler final : public PeerHandler {
public:
  using Function = std::function<void(const peer::v1::Envelope &, PeerReply)>;

  explicit FunctionPeerHandler(Function Callable)
      : Callable(std::move(Callable)) {}

  auto handle(const peer::v1::Envelope &Request, PeerReply Reply)
      -> void override {
    Callable(Request, std::move(Reply));
  }

private:
  Function Callable;
};

} // namespace jayramp
