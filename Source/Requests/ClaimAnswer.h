#pragma once

#include "jayramp/peer/v1/peer.pb.h"

#include "Requests/KeyRecord.h"

namespace jayramp {

/// Answer of a home to a claim or a query, as the asking host sees it.
struct ClaimAnswer {
  peer::v1::ClaimDecision Decision = peer::v1::CLAIM_DECISION_UNSPECIFIED;
  KeyRecord Record;
};

} // namespace jayramp
