#pragma once

#include "Membership/MemberState.h"

#include <string>

namespace jayramp {

/// One incarnation of an entry host, as recorded in a view.
struct Member {
  std::string Name;
  std::string Incarnation; ///< Random; new at each start and each rejoin.
  std::string ApiAddress;  ///< "IP:port" of the HTTP API.
  std::string PeerAddress; ///< "IP:port" of the peer transport.
  std::string AvailabilityZone;
  MemberState State = MemberState::Serving;

  auto operator==(const Member &) const -> bool = default;
};

} // namespace jayramp
