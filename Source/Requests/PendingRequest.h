#pragma once

#include "jayramp/v1/jayramp.pb.h"

#include "Base/Clock.h"
#include "Requests/OutcomeTracker.h"
#include "Requests/WorkClass.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace jayramp {

/// A caller's request that was accepted and has no outcome yet.
struct PendingRequest {
  using OutcomeCallback = std::function<void(const v1::RequestOutcome &)>;

  PendingRequest(std::uint64_t Id, v1::SubmitRequest Source,
                 OutcomeCallback Respond, TimePoint Now)
      : Id(Id), Request(std::move(Source)), Respond(std::move(Respond)),
        AcceptedAt(Now), Deadline(Now + Milliseconds(Request.deadline_ms())),
        Tracker(Request.idempotent()) {}

  const std::uint64_t Id;
  const v1::SubmitRequest Request;
  const OutcomeCallback Respond;
  const TimePoint AcceptedAt;
  const TimePoint Deadline;

  std::mutex Mutex; ///< Guards all members below.
  OutcomeTracker Tracker;
  std::string ClaimId;
  bool Finished = false;
  v1::RequestOutcome Outcome; ///< Set shortly after Finished is.
  bool HoldsClaim = false; ///< The home granted this host the claim of the key.
  /// Incarnation of this host to which the claim was granted.
  std::string ClaimIncarnation;
  bool ClaimSent = false;      ///< The home may have recorded a claim.
  bool OtherClaimSeen = false; ///< Another claim was seen on the key.
  std::uint32_t ClaimRetryCount = 0;
  /// Reason that the outcome gets if the deadline passes now.
  v1::Reason DeadlineReason = v1::DEADLINE_EXCEEDED;
  WorkClass Class = WorkClass::Short;
  TimePoint QueuedAt;
  std::string Worker; ///< Worker of the latest attempt.
};

} // namespace jayramp
