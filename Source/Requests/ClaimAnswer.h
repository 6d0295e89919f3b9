#pragma once

#include "jayramp/peer/v1/peer.pb.h"

#include "Requests/KeyRecord.h"

namespace jayramp {

/// Reply of the home to a claim or a query, as the asking host receives it.
struct ClaimAnswer {
  /// CLAIM_DECISION_UNSPECIFIED if the home did not reply.
  peer::v1::ClaimDecision Decision = peer::v1::CLAIM_DECISION_UNSPECIFIED;
  /// Set if the decision is CLAIM_GRANTED, CLAIM_IN_PROGRESS or CLAIM_DONE.
  KeyRecord Record;
};

} // namespace jayramp
