#pragma once

#include "Membership/MemberState.h"

#include <string>

namespace jayramp {

/// An entry host in one incarnation.
struct Member {
  std::string Name;
  std::string Incarnation; ///< Random; new for each start and each rejoining.
  std::string ApiAddress;  ///< "IP:port" of the HTTP API.
  std::string PeerAddress; ///< "IP:port" of the peer transport.
  std::string AvailabilityZone;
  MemberState State = MemberState::Serving;

  auto operator==(const Member &) const -> bool = default;
};

} // namespace jayramp
