#pragma once

#include "Membership/PeerHandler.h"

#include <utility>

namespace jayramp {

/// A PeerHandler that calls a function.
class FunctionPeerHandler final : public PeerHandler {
public:
  using Function = std::function<void(const peer::v1::Envelope &, PeerReply)>;

  explicit FunctionPeerHandler(Function Body) : Body(std::move(Body)) {}

  auto handle(const peer::v1::Envelope &Request, PeerReply Reply)
      -> void override {
    Body(Request, std::move(Reply));
  }

private:
  Function Body;
};

} // namespace jayramp
